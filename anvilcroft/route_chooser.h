#ifndef ANVILCROFT_ROUTE_CHOOSER_H_
#define ANVILCROFT_ROUTE_CHOOSER_H_

// Chooses the next target of a caller's request: first a service of the route, at random by the
// weights of the traffic split, then a target of that service by ChooseTarget().

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "anvilcroft/service_route.h"
#include "anvilcroft/target_pool.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

// Time until the next permit for a target that limits its requests; nullopt: it does not.
using PermitWait = std::function<std::optional<Duration>(const TargetEntry& target, TimePoint now)>;

struct RouteChoice {
  const PoolTarget* target = nullptr;  // null: no target is left
  // Whether another target is left that does not limit its requests.
  bool unlimited_left = false;
};

class RouteChooser {
 public:
  // `zone` is the availability zone of this instance. `seed` initializes the random generator.
  RouteChooser(TargetPool& pool, PermitWait permit_wait, std::string zone, uint64_t seed)
      : pool(pool), permit_wait(std::move(permit_wait)), zone(std::move(zone)), generator(seed) {}

  // Whether a request may be sent to a target.
  using Usable = std::function<bool(const TargetEntry& target)>;

  // Chooses a usable target; if `unlimited` is set, only among targets that do not limit their
  // requests. Services without such a target do not take part in the traffic split.
  RouteChoice Choose(const ServiceRoute& route, const Usable& usable, bool unlimited,
                     TimePoint now);

  // Time until the next permit for one of the targets in `ids`; nullopt: none of them limits its
  // requests.
  std::optional<Duration> NextPermit(const std::set<std::string>& ids, TimePoint now) const;

 private:
  double NextRandom();  // uniform in [0, 1)

  TargetPool& pool;
  PermitWait permit_wait;
  std::string zone;
  std::mt19937_64 generator;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROUTE_CHOOSER_H_
