#ifndef ANVILCROFT_ROUTE_CHOOSER_H_
#define ANVILCROFT_ROUTE_CHOOSER_H_

// Chooses the next target of a caller's request: first a service of the route, at random by the
// weights of the traffic split, then a target of that service by ChooseTarget().

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
  // `zone` is the availability zone of this instance. `seed` initializes the random generator.
  RouteChooser(TargetPool& pool, std::string zone, uint64_t seed)
      : pool(pool), zone(std::move(zone)), generator(seed) {}

  // Returns a target that is not in `tried`, or null if there is none. Services without such a
  // target do not take part in the traffic split.
  const PoolTarget* Choose(const ServiceRoute& route, const std::set<std::string>& tried,
                           TimePoint now);

 private:
  double NextRandom();  // uniform in [0, 1)

  TargetPool& pool;
  std::string zone;
  std::mt19937_64 generator;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROUTE_CHOOSER_H_
