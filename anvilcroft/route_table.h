#ifndef ANVILCROFT_ROUTE_TABLE_H_
#define ANVILCROFT_ROUTE_TABLE_H_

// One version of the operator's configuration: routes, services and limits. Immutable.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "anvilcroft/caller_limits.h"
#include "anvilcroft/service_route.h"
#include "anvilcroft/target_service.h"

namespace anvilcroft {

class RouteTable {
 public:
  class Builder;

  int64_t Version() const { return this->version; }
  const CallerLimits& Limits() const { return this->limits; }
  const std::vector<TargetService>& Services() const { return this->services; }
  const std::vector<ServiceRoute>& Routes() const { return this->routes; }

  // Returns the route of `host` whose prefix is the longest that matches `path`, or null. `host`
  // may end with a port, which is ignored.
  const ServiceRoute* Match(std::string_view host, std::string_view path) const;

  // Returns the service called `name`, or null.
  const TargetService* FindService(const std::string& name) const;

  friend bool operator==(const RouteTable& a, const RouteTable& b) {
    return a.version == b.version && a.limits == b.limits && a.routes == b.routes &&
           a.services == b.services;
  }
  friend bool operator!=(const RouteTable& a, const RouteTable& b) { return !(a == b); }

 private:
  int64_t version = 0;
  CallerLimits limits;
  std::vector<ServiceRoute> routes;
  std::vector<TargetService> services;
  // Positions in `routes`, by host and path prefix.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> index;
};

class RouteTable::Builder {
 public:
  Builder& SetVersion(int64_t value);
  Builder& SetLimits(CallerLimits value);
  Builder& AddRoute(ServiceRoute route);
  Builder& AddService(TargetService service);
  RouteTable Build() const { return this->table; }

 private:
  RouteTable table;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROUTE_TABLE_H_
