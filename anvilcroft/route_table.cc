#include "anvilcroft/route_table.h"

#include <utility>

namespace anvilcroft {

const ServiceRoute* RouteTable::Match(std::string_view host, std::string_view path) const {
  const auto host_routes = this->index.find(host.substr(0, host.rfind(':')));
  if (host_routes == this->index.end()) return nullptr;
  // Prefixes end with a slash; looks up those of the path, the longest first.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;) {
    const auto found = host_routes->second.find(path.substr(0, end + 1));
    if (found != host_routes->second.end()) return &this->routes[found->second];
    if (end == 0) break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const TargetService* RouteTable::FindService(const std::string& name) const {
  for (const TargetService& service : this->services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

std::optional<int> RouteTable::PriorityOf(const ServiceRoute* route,
                                          const std::string& customer) const {
  const Customer* known = customer.empty() ? nullptr : this->customers->Find(customer);
  if (known != nullptr && known->priority) return known->priority;
  return route == nullptr ? std::nullopt : std::optional<int>(route->priority);
}

RouteTable::Builder& RouteTable::Builder::SetVersion(int64_t value) {
  this->table.version = value;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::SetLimits(CallerLimits value) {
  this->table.limits = value;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::AddRoute(ServiceRoute route) {
  this->table.open_jobs |= route.open && route.kind == RouteKind::kRollout;
  this->table.index[route.host][route.prefix] = this->table.routes.size();
  this->table.routes.push_back(std::move(route));
  return *this;
}

RouteTable::Builder& RouteTable::Builder::AddService(TargetService service) {
  this->table.services.push_back(std::move(service));
  return *this;
}

RouteTable::Builder& RouteTable::Builder::SetCustomers(CustomerTable customers) {
  this->table.customers = std::make_shared<const CustomerTable>(std::move(customers));
  return *this;
}

}  // namespace anvilcroft
