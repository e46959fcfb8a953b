#ifndef ANVILCROFT_CONNECT_TIMES_H_
#define ANVILCROFT_CONNECT_TIMES_H_

// Estimates the network delay to each endpoint from the time that new connections took, which is
// one round trip. Pure.
//
// Load: connections are opened now and then, some of them while the instance or the network is busy
// or loses packets. Such a connection takes longer, so the shortest of the last ones counts.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class ConnectTimes {
 public:
  static constexpr std::size_t kRemembered = 8;  // connections for each endpoint
  // Targets come and go under new addresses. More endpoints than a site has are not remembered.
  static constexpr std::size_t kMaxEndpoints = 4096;

  void Add(const Endpoint& endpoint, Duration took) {
    if (this->times.size() >= kMaxEndpoints && this->times.count(endpoint) == 0) {
      this->times.clear();
    }
    auto& remembered = this->times[endpoint];
    remembered.push_back(took);
    if (remembered.size() > kRemembered) remembered.pop_front();
  }

  // The time of a message to `endpoint`; zero if it is not known.
  Duration OneWay(const Endpoint& endpoint) const {
    const auto found = this->times.find(endpoint);
    if (found == this->times.end()) return Duration::zero();
    return *std::min_element(found->second.begin(), found->second.end()) / 2;
  }

 private:
  std::map<Endpoint, std::deque<Duration>> times;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CONNECT_TIMES_H_
