#include "anvilcroft/sharing/service_pools.h"

namespace anvilcroft {

void ServicePools::Join(const TrafficSplit& split) {
  if (split.Active().empty()) return;
  const std::string pool = this->PoolOf(split.Active().front().service);
  for (const ServiceShare& share : split.Active()) {
    const std::string joined = this->PoolOf(share.service);
    for (auto& [service, name] : this->pools) {
      if (name == joined) name = pool;
    }
    this->pools[share.service] = pool;
  }
}

std::string ServicePools::PoolOf(const std::string& service) const {
  const auto found = this->pools.find(service);
  return found == this->pools.end() ? service : found->second;
}

std::string ServicePools::PoolOf(const TrafficSplit& split) const {
  return split.Active().empty() ? "" : this->PoolOf(split.Active().front().service);
}

}  // namespace anvilcroft
