#include "anvilcroft/straggler_plan.h"

#include <algorithm>

namespace anvilcroft {
namespace {

// Time to resume on another engine: a round trip, processing of the prompt, and the first event.
constexpr double kMoveCostMs = 90;
// A move must save at least this share of the remaining time, and at least this many ms.
constexpr double kMinGainShare = 0.5;
constexpr double kMinGainMs = 900;
constexpr double kMaxFailureShare = 0.3;  // failure probability of an engine that receives items

const PlacementEngine* FindEngine(const std::vector<PlacementEngine>& engines,
                                  const std::string& id) {
  for (const PlacementEngine& engine : engines) {
    if (engine.id == id) return &engine;
  }
  return nullptr;
}

// Whether `item` can be moved to `engine`.
bool CanRun(const RunningItem& item, const PlacementEngine& engine) {
  if (engine.id == item.engine || engine.service != item.service) return false;
  if (engine.running >= engine.slots || engine.loading.count(item.model) != 0) return false;
  if (engine.failure_share > kMaxFailureShare) return false;
  const auto version = engine.versions.find(item.model);
  if (version == engine.versions.end()) return item.model.empty();
  if (item.only_version != 0) return version->second == item.only_version;
  return version->second >= item.min_version;
}

}  // namespace

std::vector<std::size_t> PlanMoves(const std::vector<RunningItem>& items,
                                   std::vector<PlacementEngine> engines) {
  // Considers the items with the most remaining time first.
  struct Candidate {
    double left_ms = 0;
    const RunningItem* item = nullptr;
  };
  std::vector<Candidate> candidates;
  for (const RunningItem& item : items) {
    if (item.moves >= kMaxMoves) continue;
    if (item.events_here < kMinEventsBeforeMove && item.since_event < kLongSilence) continue;
    const PlacementEngine* engine = FindEngine(engines, item.engine);
    if (engine == nullptr) continue;
    const double silent_ms = std::chrono::duration<double, std::milli>(item.since_event).count();
    const double event_ms = std::max(engine->event_ms, silent_ms);
    candidates.push_back({item.events_left * event_ms, &item});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.left_ms > b.left_ms; });
  std::vector<std::size_t> moves;
  for (const Candidate& candidate : candidates) {
    PlacementEngine* best = nullptr;
    for (PlacementEngine& engine : engines) {
      if (!CanRun(*candidate.item, engine)) continue;
      if (best == nullptr || engine.event_ms < best->event_ms) best = &engine;
    }
    if (best == nullptr) continue;
    const double gain =
        candidate.left_ms - candidate.item->events_left * best->event_ms - kMoveCostMs;
    if (gain < kMinGainMs || gain < candidate.left_ms * kMinGainShare) continue;
    ++best->running;
    moves.push_back(candidate.item->key);
  }
  return moves;
}

}  // namespace anvilcroft
