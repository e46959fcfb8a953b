#ifndef ANVILCROFT_TRAFFIC_SPLIT_H_
#define ANVILCROFT_TRAFFIC_SPLIT_H_

// How the requests of a route are divided among services.
//
//   const TrafficSplit split = TrafficSplit::Builder().Add("new", 10).Add("old", 90).Build();
//   for (const ServiceShare& share : split.Active()) ...
//
// No service of a split stands for all of them: code that needs one value for a route takes the
// mean over the services that get requests.

#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace anvilcroft {

struct ServiceShare {
  std::string service;
  double weight = 1;  // relative to the other shares; 0: the service gets no requests

  friend bool operator==(const ServiceShare& a, const ServiceShare& b) {
    return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
  }
  friend bool operator!=(const ServiceShare& a, const ServiceShare& b) { return !(a == b); }
};

// Immutable; copies share their contents.
class TrafficSplit {
 public:
  class Builder;

  TrafficSplit();  // without services

  // All services, in the order of the configuration.
  const std::vector<ServiceShare>& All() const { return this->shares->all; }
  // The services that get requests: those with a positive weight.
  const std::vector<ServiceShare>& Active() const { return this->shares->active; }

  // Whether `service` gets requests.
  bool Includes(const std::string& service) const { return this->ShareOf(service) > 0; }
  // Share of the requests that `service` gets, 0 to 1.
  double ShareOf(const std::string& service) const;
  // Mean of `value` over the services that get requests, by their shares; 0 without any.
  double Mean(const std::function<double(const std::string& service)>& value) const;

  friend bool operator==(const TrafficSplit& a, const TrafficSplit& b) {
    return a.shares == b.shares || a.All() == b.All();
  }
  friend bool operator!=(const TrafficSplit& a, const TrafficSplit& b) { return !(a == b); }

 private:
  struct Shares {
    std::vector<ServiceShare> all;
    std::vector<ServiceShare> active;
    double total = 0;  // of the weights
  };

  explicit TrafficSplit(Shares shares);

  std::shared_ptr<const Shares> shares;
};

class TrafficSplit::Builder {
 public:
  Builder& Add(std::string service, double weight = 1);
  TrafficSplit Build() const { return TrafficSplit(this->shares); }

 private:
  Shares shares;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRAFFIC_SPLIT_H_
