#ifndef FAKES_CACHE_EVENTS_H_
#define FAKES_CACHE_EVENTS_H_

// The cache events of a fake engine: each becomes visible late, and some never do. A reader sees a
// lost event as a gap in the sequence numbers.

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "anvilcroft/time.h"

namespace anvilcroft::fakes {

class CacheEvents {
 public:
  static constexpr std::size_t kMaxEvents = 10000;

  // `loss`: the part of the events that is never shown, 0 to 1.
  CacheEvents(uint64_t seed, Duration lag, double loss) : random(seed), lag(lag), loss(loss) {}

  void Record(TimePoint now, const std::string& block, bool stored);

  // {events: [{seq, kind: stored|removed, block, tokens}], last}: those after `since` that are
  // visible at `now`; `last` is the value for the next `since`.
  nlohmann::json EventsSince(TimePoint now, int64_t since) const;

 private:
  struct Event {
    int64_t seq = 0;
    TimePoint at;
    std::string block;
    bool stored = false;
    bool lost = false;
  };

  std::mt19937_64 random;
  Duration lag;
  double loss;
  int64_t last_seq = 0;
  std::deque<Event> events;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_CACHE_EVENTS_H_
