#include "anvilcroft/engine_board.h"

#include <algorithm>
#include <vector>

namespace anvilcroft {
namespace {

// Weights of the newest event. Slow phases last from half a second to several seconds, in which an
// engine makes tens of events.
constexpr double kUsualGain = 0.02;
constexpr double kRecentGain = 0.25;
constexpr Duration kRecent = milliseconds(500);
constexpr double kDefaultEventMs = 30;  // before any event has been seen

}  // namespace

void EngineBoard::Update(const std::map<std::string, PoolTarget>& targets, TimePoint now) {
  for (const auto& [id, target] : targets) {
    if (target.entry.versions.empty()) continue;  // not a model engine
    EngineState& engine = this->engines[id];
    if (!engine.entry.IsSameStart(target.entry)) {
      engine = EngineState();
      engine.versions = target.entry.versions;
    }
    // The list lags, so an entry counts when it changes and not when it is read again.
    for (const auto& [model, version] : target.entry.versions) {
      const auto before = engine.entry.versions.find(model);
      if (before != engine.entry.versions.end() && before->second == version) continue;
      engine.versions[model] = version;
      if (engine.loading_model == model && version >= engine.loading_version) {
        engine.loading_model.clear();
      }
    }
    engine.entry = target.entry;
    if (!engine.loading_model.empty() && now - engine.loading_since > kLoadLimit) {
      engine.loading_model.clear();
      engine.orders_accepted.reset();
    }
  }
  for (auto it = this->engines.begin(); it != this->engines.end();) {
    it = targets.count(it->first) == 0 ? this->engines.erase(it) : std::next(it);
  }
}

EngineState* EngineBoard::Find(const std::string& id) {
  const auto found = this->engines.find(id);
  return found == this->engines.end() ? nullptr : &found->second;
}

void EngineBoard::LoadStarted(const std::string& id, const std::string& model, int64_t version,
                              TimePoint now) {
  EngineState* engine = this->Find(id);
  if (engine == nullptr) return;
  engine->loading_model = model;
  engine->loading_version = version;
  engine->loading_since = now;
  if (engine->orders_accepted) ++*engine->orders_accepted;
}

void EngineBoard::VersionSeen(const std::string& id, const std::string& model, int64_t version) {
  EngineState* engine = this->Find(id);
  if (engine == nullptr) return;
  engine->versions[model] = version;
  if (engine->loading_model == model && version >= engine->loading_version) {
    engine->loading_model.clear();
  }
}

void EngineBoard::Doubt(const std::string& id) {
  if (EngineState* engine = this->Find(id)) engine->doubted = true;
}

void EngineBoard::Paced(const std::string& id, Duration took, TimePoint now) {
  EngineState* engine = this->Find(id);
  if (engine == nullptr) return;
  const double ms = std::chrono::duration<double, std::milli>(took).count();
  const auto mean = [ms](double before, double gain) {
    return before == 0 ? ms : before * (1 - gain) + ms * gain;
  };
  engine->usual_event_ms = mean(engine->usual_event_ms, kUsualGain);
  const bool fresh = now - engine->paced_at < kRecent;
  engine->recent_event_ms = mean(fresh ? engine->recent_event_ms : 0, kRecentGain);
  engine->paced_at = now;
}

double EngineBoard::EventMs(const EngineState& engine, TimePoint now) const {
  if (engine.recent_event_ms > 0 && now - engine.paced_at < kRecent) return engine.recent_event_ms;
  return engine.usual_event_ms > 0 ? engine.usual_event_ms : this->MedianEventMs();
}

double EngineBoard::MedianEventMs() const {
  std::vector<double> paces;
  for (const auto& [id, engine] : this->engines) {
    if (engine.usual_event_ms > 0) paces.push_back(engine.usual_event_ms);
  }
  if (paces.empty()) return kDefaultEventMs;
  const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

}  // namespace anvilcroft
