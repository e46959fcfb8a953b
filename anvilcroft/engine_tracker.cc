#include "anvilcroft/engine_tracker.h"

#include <algorithm>
#include <vector>

namespace anvilcroft {
namespace {

// Weights of the newest event in the long-term and in the recent moving average. Slow phases last
// from half a second to several seconds, in which an engine generates tens of events.
constexpr double kLongTermWeight = 0.02;
constexpr double kRecentWeight = 0.25;
constexpr Duration kRecent = milliseconds(500);  // age up to which the recent average is used
constexpr double kDefaultEventMs = 30;           // before any event has been seen

}  // namespace

void EngineTracker::Update(const std::map<std::string, PoolTarget>& targets, TimePoint now) {
  for (const auto& [id, target] : targets) {
    if (target.entry.versions.empty()) continue;  // not a model engine
    EngineState& engine = this->engines[id];
    if (!engine.entry.IsSameStart(target.entry)) {
      engine = EngineState();
      engine.versions = target.entry.versions;
    }
    // The list lags behind the engines, so a version in it is applied only when it has changed.
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

EngineState* EngineTracker::Find(const std::string& id) {
  const auto found = this->engines.find(id);
  return found == this->engines.end() ? nullptr : &found->second;
}

void EngineTracker::RecordLoadStarted(const std::string& id, const std::string& model,
                                      int64_t version, TimePoint now) {
  EngineState* engine = this->Find(id);
  if (engine == nullptr) return;
  engine->loading_model = model;
  engine->loading_version = version;
  engine->loading_since = now;
  if (engine->orders_accepted) ++*engine->orders_accepted;
}

void EngineTracker::RecordVersion(const std::string& id, const std::string& model,
                                  int64_t version) {
  EngineState* engine = this->Find(id);
  if (engine == nullptr) return;
  engine->versions[model] = version;
  if (engine->loading_model == model && version >= engine->loading_version) {
    engine->loading_model.clear();
  }
}

void EngineTracker::MarkUnconfirmed(const std::string& id) {
  if (EngineState* engine = this->Find(id)) engine->unconfirmed = true;
}

void EngineTracker::RecordEventTime(const std::string& id, Duration duration, TimePoint now) {
  EngineState* engine = this->Find(id);
  if (engine == nullptr) return;
  const double ms = std::chrono::duration<double, std::milli>(duration).count();
  const auto moving_average = [ms](double previous, double weight) {
    return previous == 0 ? ms : previous * (1 - weight) + ms * weight;
  };
  engine->average_event_ms = moving_average(engine->average_event_ms, kLongTermWeight);
  const bool is_recent = now - engine->last_event < kRecent;
  engine->recent_event_ms = moving_average(is_recent ? engine->recent_event_ms : 0, kRecentWeight);
  engine->last_event = now;
}

double EngineTracker::EventMs(const EngineState& state, TimePoint now) const {
  if (state.recent_event_ms > 0 && now - state.last_event < kRecent) return state.recent_event_ms;
  return state.average_event_ms > 0 ? state.average_event_ms : this->MedianEventMs();
}

double EngineTracker::MedianEventMs() const {
  std::vector<double> averages;
  for (const auto& [id, engine] : this->engines) {
    if (engine.average_event_ms > 0) averages.push_back(engine.average_event_ms);
  }
  if (averages.empty()) return kDefaultEventMs;
  const auto middle = averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2);
  std::nth_element(averages.begin(), middle, averages.end());
  return *middle;
}

}  // namespace anvilcroft
