#ifndef ANVILCROFT_SCALING_ENGINE_SCALING_H_
#define ANVILCROFT_SCALING_ENGINE_SCALING_H_

// The bounds and prices within which the number of engines of a service may be changed.

#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/time.h"

namespace anvilcroft {

struct EngineScaling {
  // Bounds on the number of engines in each zone, regular and reclaimable ones together.
  int min = 0;
  int max = 0;
  Duration boot_time = Duration::zero();  // from an order to the first request that is served
  // Price of a reclaimable engine as a share of the zone's price; nullopt: none are offered.
  std::optional<double> reclaimable_price;
  std::map<std::string, double> zone_prices;  // of an engine-second; a zone without one costs 1

  double ZonePrice(const std::string& zone) const {
    const auto price = this->zone_prices.find(zone);
    return price == this->zone_prices.end() ? 1 : price->second;
  }

  friend bool operator==(const EngineScaling& a, const EngineScaling& b) {
    return std::tie(a.min, a.max, a.boot_time, a.reclaimable_price, a.zone_prices) ==
           std::tie(b.min, b.max, b.boot_time, b.reclaimable_price, b.zone_prices);
  }
  friend bool operator!=(const EngineScaling& a, const EngineScaling& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SCALING_ENGINE_SCALING_H_
