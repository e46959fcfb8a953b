#include "anvilcroft/traffic_split.h"

#include <utility>

namespace anvilcroft {

TrafficSplit::TrafficSplit() {
  static const auto empty = std::make_shared<const Shares>();
  this->shares = empty;
}

TrafficSplit::TrafficSplit(Shares shares)
    : shares(std::make_shared<const Shares>(std::move(shares))) {}

double TrafficSplit::ShareOf(const std::string& service) const {
  double weight = 0;
  for (const ServiceShare& share : this->Active()) {
    if (share.service == service) weight += share.weight;
  }
  return weight > 0 ? weight / this->shares->total : 0;
}

double TrafficSplit::Mean(const std::function<double(const std::string& service)>& value) const {
  double sum = 0;
  for (const ServiceShare& share : this->Active()) sum += share.weight * value(share.service);
  return this->Active().empty() ? 0 : sum / this->shares->total;
}

TrafficSplit::Builder& TrafficSplit::Builder::Add(std::string service, double weight) {
  ServiceShare share{std::move(service), weight};
  if (weight > 0) {
    this->shares.active.push_back(share);
    this->shares.total += weight;
  }
  this->shares.all.push_back(std::move(share));
  return *this;
}

}  // namespace anvilcroft
