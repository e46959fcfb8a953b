#ifndef ANVILCROFT_ROUTE_CHOOSER_H_
#define ANVILCROFT_ROUTE_CHOOSER_H_

// Chooses the next target of a caller's request: a service of the route by its share of the
// requests, and a target of that service by ChooseTarget.

#include <cstdint>
#include <random>
#include <set>
#include <string>

#include "anvilcroft/service_route.h"
#include "anvilcroft/target_pool.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class RouteChooser {
 public:
  // `zone` is that of this instance.
  RouteChooser(TargetPool& pool, std::string zone, uint64_t seed)
      : pool(pool), zone(std::move(zone)), generator(seed) {}

  // A target that is not in `tried`, or null. Services without such a target are left out.
  const PoolTarget* Choose(const ServiceRoute& route, const std::set<std::string>& tried,
                           TimePoint now);

 private:
  double NextRandom();

  TargetPool& pool;
  std::string zone;
  std::mt19937_64 generator;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROUTE_CHOOSER_H_
