#ifndef ANVILCROFT_ROUTE_TABLE_H_
#define ANVILCROFT_ROUTE_TABLE_H_

// One version of the operator's configuration: routes, services, customers and limits. Immutable.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "anvilcroft/caller_limits.h"
#include "anvilcroft/customers/customer_table.h"
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
  const CustomerTable& Customers() const { return *this->customers; }

  // Whether a route accepts batch jobs without a key.
  bool HasOpenJobs() const { return this->open_jobs; }

  // The priority of work of `customer` on `route`, which may be null; 0 is the most urgent. That of
  // the customer takes precedence; nullopt: neither is known.
  std::optional<int> PriorityOf(const ServiceRoute* route, const std::string& customer) const;

  // Returns the route of `host` whose prefix is the longest that matches `path`, or null. `host`
  // may end with a port, which is ignored.
  const ServiceRoute* Match(std::string_view host, std::string_view path) const;

  // Returns the service called `name`, or null.
  const TargetService* FindService(const std::string& name) const;

  friend bool operator==(const RouteTable& a, const RouteTable& b) {
    return a.version == b.version && a.limits == b.limits && a.routes == b.routes &&
           a.services == b.services && *a.customers == *b.customers;
  }
  friend bool operator!=(const RouteTable& a, const RouteTable& b) { return !(a == b); }

 private:
  int64_t version = 0;
  CallerLimits limits;
  std::vector<ServiceRoute> routes;
  std::vector<TargetService> services;
  std::shared_ptr<const CustomerTable> customers = std::make_shared<const CustomerTable>();
  bool open_jobs = false;
  // Positions in `routes`, by host and path prefix.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> index;
};

class RouteTable::Builder {
 public:
  Builder& SetVersion(int64_t value);
  Builder& SetLimits(CallerLimits value);
  Builder& AddRoute(ServiceRoute route);
  Builder& AddService(TargetService service);
  Builder& SetCustomers(CustomerTable customers);
  RouteTable Build() const { return this->table; }

 private:
  RouteTable table;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROUTE_TABLE_H_
