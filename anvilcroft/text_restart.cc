#include "anvilcroft/text_restart.h"

#include <algorithm>

namespace anvilcroft {

bool MayHaveVersion(const EngineState& engine, const PoolTarget* target, const std::string& model,
                    int64_t version) {
  if (target == nullptr || target->Leaving()) return false;
  if (engine.loading_model == model && engine.loading_version != version) return false;
  const auto found = engine.versions.find(model);
  return found == engine.versions.end() || found->second == version;
}

bool AnyMayHaveVersion(EngineTracker& engines, const TargetPool& pool, const TrafficSplit& split,
                       const std::string& model, int64_t version) {
  return std::any_of(engines.All().begin(), engines.All().end(), [&](const auto& entry) {
    const auto& [id, engine] = entry;
    return split.Includes(engine.entry.service) &&
           MayHaveVersion(engine, pool.Find(id), model, version);
  });
}

bool ShouldRestartText(bool version_left, Duration held_for, Duration text_time) {
  return !version_left || held_for >= std::min(text_time, kMaxVersionWait);
}

}  // namespace anvilcroft
