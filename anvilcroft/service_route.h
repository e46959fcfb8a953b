#ifndef ANVILCROFT_SERVICE_ROUTE_H_
#define ANVILCROFT_SERVICE_ROUTE_H_

// A route of the configuration: which requests it matches and how they are served.

#include <string>
#include <tuple>

#include "anvilcroft/time.h"
#include "anvilcroft/traffic_split.h"

namespace anvilcroft {

enum class RouteKind {
  kRepeatable,  // requests may run more than once
  kOnce,        // a request runs at most once
  kStream,      // the response is a stream of events; runs at most once unless resumable
  kRollout,     // accepts batch jobs
};

struct ServiceRoute {
  std::string name;
  std::string host;
  std::string prefix;  // of the path; starts and ends with a slash
  RouteKind kind = RouteKind::kOnce;
  Duration timeout = Duration::zero();         // longest wait of a caller; zero: not set
  Duration target_latency = Duration::zero();  // intended response time
  int priority = 0;                            // 0 is the most urgent
  int max_targets = 1;                         // maximum number of targets tried for a request
  bool resumable = false;  // an interrupted stream can continue on another target
  bool open = false;       // requests need no key where the configuration names customers
  Duration result_target = Duration::zero();  // batch jobs: all results are due after this time
  Duration item_lifetime = Duration::zero();  // batch jobs: an item may expire after this time
  bool single_version = false;  // batch jobs: each text must come from one weight version
  TrafficSplit split;           // the services that serve the requests

  // Whether a request that may have run may be sent again.
  bool Repeatable() const {
    return this->kind == RouteKind::kRepeatable || this->kind == RouteKind::kRollout ||
           this->resumable;
  }

  friend bool operator==(const ServiceRoute& a, const ServiceRoute& b) {
    return std::tie(a.name, a.host, a.prefix, a.kind, a.timeout, a.target_latency, a.priority,
                    a.max_targets, a.resumable, a.result_target, a.item_lifetime, a.single_version,
                    a.split, a.open) == std::tie(b.name, b.host, b.prefix, b.kind, b.timeout,
                                                 b.target_latency, b.priority, b.max_targets,
                                                 b.resumable, b.result_target, b.item_lifetime,
                                                 b.single_version, b.split, b.open);
  }
  friend bool operator!=(const ServiceRoute& a, const ServiceRoute& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SERVICE_ROUTE_H_
