#include "fakes/cache_events.h"

#include <utility>

#include "fakes/prefix_cache.h"

namespace anvilcroft::fakes {

void CacheEvents::Record(TimePoint now, const std::string& block, bool stored) {
  const bool lost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
  this->events.push_back(Event{++this->last_seq, now, block, stored, lost});
  if (this->events.size() > kMaxEvents) this->events.pop_front();
}

nlohmann::json CacheEvents::EventsSince(TimePoint now, int64_t since) const {
  nlohmann::json visible = nlohmann::json::array();
  int64_t last = since;
  for (const Event& event : this->events) {
    if (event.at + this->lag > now) break;
    if (event.seq <= since) continue;
    last = event.seq;
    if (event.lost) continue;
    visible.push_back({{"seq", event.seq},
                       {"kind", event.stored ? "stored" : "removed"},
                       {"block", event.block},
                       {"tokens", PrefixCache::kBlockTokens}});
  }
  return {{"events", std::move(visible)}, {"last", last}};
}

}  // namespace anvilcroft::fakes
