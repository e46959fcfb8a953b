#include "anvilcroft/relay_choice.h"

namespace anvilcroft {

const FrontRecord* ChooseRelay(const std::vector<FrontRecord>& fronts, const RelayContext& context,
                               TimePoint now) {
  std::vector<const FrontRecord*> same_zone;
  std::vector<const FrontRecord*> other_zones;
  for (const FrontRecord& front : fronts) {
    const bool usable = front.relays && !front.cut_off && !front.internal_address.empty();
    if (!usable || front.instance == context.self || context.tried.count(front.instance) != 0) {
      continue;
    }
    const auto failed = context.failed.find(front.instance);
    if (failed != context.failed.end() && now - failed->second < context.failed_pause) continue;
    if (front.instance == context.last_relay) return &front;
    (front.zone == context.zone ? same_zone : other_zones).push_back(&front);
  }
  const auto& candidates = other_zones.empty() ? same_zone : other_zones;
  if (candidates.empty()) return nullptr;
  return candidates[static_cast<std::size_t>(context.random *
                                             static_cast<double>(candidates.size())) %
                    candidates.size()];
}

}  // namespace anvilcroft
