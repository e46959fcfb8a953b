#ifndef FAKES_CACHE_EVENTS_H_
#define FAKES_CACHE_EVENTS_H_

// The cache events of a fake engine. Events are published after a delay and some are dropped at
// random; a reader sees a dropped event as a gap in the sequence numbers.

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "anvilcroft/time.h"

namespace anvilcroft::fakes {

class CacheEvents {
 public:
  // The number of events kept; older ones are discarded.
  static constexpr std::size_t kMaxEvents = 10000;

  // `lag`: the delay until an event is visible. `loss`: the fraction of events that is dropped,
  // 0 to 1.
  CacheEvents(uint64_t seed, Duration lag, double loss) : random(seed), lag(lag), loss(loss) {}

  void Record(TimePoint now, const std::string& block, bool stored);

  // Returns the events after sequence number `since` that are visible at `now`, as
  // {events: [{seq, kind: stored|removed, block, tokens}], last}. `last` is the `since` of the next
  // call.
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
