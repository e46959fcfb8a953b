#include "anvilcroft/straggler_plan.h"

#include <algorithm>
#include <limits>

namespace anvilcroft {
namespace {

using Millis = std::chrono::duration<double, std::milli>;

// Time to resume on another engine: a round trip, processing of the prompt, and the first event.
constexpr double kMoveCostMs = 90;
// A move must save at least this many ms. Most slow phases end sooner than the forecast says, since
// engines are often slow for a fraction of a second; an engine that is silent is rather lost.
constexpr double kMinGainMs = 600;
constexpr double kMinGainSilentMs = 150;
// Smaller differences between the usual paces of two engines are within the error of the estimates.
constexpr double kMinPaceRatio = 1.3;

const PlacementEngine* FindEngine(const std::vector<PlacementEngine>& engines,
                                  const std::string& id) {
  for (const PlacementEngine& engine : engines) {
    if (engine.id == id) return &engine;
  }
  return nullptr;
}

// Expected time for the events that `item` has left on an engine with `pace`, in ms. Load is left
// out: engines are full when a step arrives, and no longer when only its long items are left.
double LeftMs(const RunningItem& item, const PaceForecast& pace) {
  return TimeForEventsMs(pace, item.events_left, 0);
}

// Expected time that `item` saves on an engine with pace `other`, in ms.
double GainMs(const RunningItem& item, const PaceForecast& pace, PaceForecast other) {
  if (pace.event_ms < other.event_ms * kMinPaceRatio) {
    other.event_ms = std::max(other.event_ms, pace.event_ms);
  }
  return LeftMs(item, pace) - LeftMs(item, other) - kMoveCostMs;
}

// Whether `item` can be moved to `engine`.
bool CanRun(const RunningItem& item, const PlacementEngine& engine) {
  if (engine.id == item.engine || !item.services.Includes(engine.service)) return false;
  if (!item.software.empty() && engine.software != item.software) return false;
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
    PaceForecast pace;
    double min_gain_ms = 0;
    const RunningItem* item = nullptr;
  };
  // Most engines have no slow phase and no faster one beside them, and need no comparison with all.
  double fastest_ms = std::numeric_limits<double>::infinity();
  for (const PlacementEngine& engine : engines) {
    fastest_ms = std::min(fastest_ms, engine.pace.event_ms);
  }
  std::vector<Candidate> candidates;
  for (const RunningItem& item : items) {
    if (item.moves >= kMaxMoves) continue;
    const PlacementEngine* engine = FindEngine(engines, item.engine);
    if (engine == nullptr) continue;
    const Duration long_silence = std::max<Duration>(
        kLongSilence,
        std::chrono::duration_cast<Duration>(Millis(kLongSilenceEvents * engine->pace.event_ms)));
    if (item.events_here < kMinEventsBeforeMove && item.since_event < long_silence) continue;
    const PaceForecast pace = AfterSilence(engine->pace, item.since_event);
    if (pace.slow_left_ms <= 0 && pace.event_ms < fastest_ms * kMinPaceRatio) continue;
    const double min_gain_ms = item.since_event < long_silence ? kMinGainMs : kMinGainSilentMs;
    candidates.push_back({LeftMs(item, pace), pace, min_gain_ms, &item});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.left_ms > b.left_ms; });
  std::vector<std::size_t> moves;
  for (const Candidate& candidate : candidates) {
    PlacementEngine* best = nullptr;
    double best_gain = 0;
    for (PlacementEngine& engine : engines) {
      if (!CanRun(*candidate.item, engine)) continue;
      const double gain =
          GainMs(*candidate.item, candidate.pace, engine.pace) - Millis(engine.permit_wait).count();
      if (best == nullptr || gain > best_gain) {
        best = &engine;
        best_gain = gain;
      }
    }
    if (best == nullptr || best_gain < candidate.min_gain_ms) continue;
    ++best->running;
    moves.push_back(candidate.item->key);
  }
  return moves;
}

}  // namespace anvilcroft
