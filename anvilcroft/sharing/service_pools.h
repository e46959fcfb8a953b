#ifndef ANVILCROFT_SHARING_SERVICE_POOLS_H_
#define ANVILCROFT_SHARING_SERVICE_POOLS_H_

// Joins services whose engines serve the same routes into pools: a step whose route has several
// services competes with the steps of each of them.
//
//   ServicePools pools;
//   for (...) pools.Join(route.split);
//   pools.PoolOf(service);

#include <map>
#include <string>

#include "anvilcroft/traffic_split.h"

namespace anvilcroft {

class ServicePools {
 public:
  // Puts all services of `split` that get requests into one pool.
  void Join(const TrafficSplit& split);

  // Name of the pool of `service`; its own name if it has not been joined with others.
  std::string PoolOf(const std::string& service) const;
  // Name of the pool that runs the requests of `split`, which must have been joined; "" if no
  // service gets any.
  std::string PoolOf(const TrafficSplit& split) const;

 private:
  std::map<std::string, std::string> pools;  // by service
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SHARING_SERVICE_POOLS_H_
