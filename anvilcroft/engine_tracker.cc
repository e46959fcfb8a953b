#include "anvilcroft/engine_tracker.h"

#include <algorithm>
#include <vector>

namespace anvilcroft {
namespace {

constexpr double kDefaultEventMs = 30;  // before any event has been seen

}  // namespace

double EngineState::Load() const {
  int runs = 0;
  for (const auto& [model, count] : this->running) runs += count;
  return std::min(1.0, static_cast<double>(runs) / std::max(1, this->entry.slots));
}

void EngineTracker::Update(const std::map<std::string, PoolTarget>& targets, TimePoint now,
                           const SliceScope& scope) {
  for (const auto& [id, target] : targets) {
    if (target.entry.versions.empty()) continue;  // not a model engine
    if (!scope.OwnsEngine(target.entry)) continue;
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
    const bool keep =
        targets.count(it->first) != 0 && scope.OwnsEngine(targets.at(it->first).entry);
    it = keep ? std::next(it) : this->engines.erase(it);
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
  if (model.empty()) return;
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
  engine->pace.Record(duration, engine->Load(), now);
}

PaceForecast EngineTracker::Forecast(const EngineState& state, TimePoint now) const {
  PaceForecast forecast = state.pace.ForecastAt(now);
  if (forecast.event_ms == 0) forecast.event_ms = this->MedianEventMs();
  return forecast;
}

double EngineTracker::MedianEventMs() const {
  std::vector<double> averages;
  for (const auto& [id, engine] : this->engines) {
    if (engine.pace.NormalMs() > 0) averages.push_back(engine.pace.NormalMs());
  }
  if (averages.empty()) return kDefaultEventMs;
  const auto middle = averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2);
  std::nth_element(averages.begin(), middle, averages.end());
  return *middle;
}

}  // namespace anvilcroft
