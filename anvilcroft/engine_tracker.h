#ifndef ANVILCROFT_ENGINE_TRACKER_H_
#define ANVILCROFT_ENGINE_TRACKER_H_

// Tracks the state of each model engine beyond its entry in the platform's list: weight loads in
// progress, accepted weight orders, and the time for an event in this instance's runs.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "anvilcroft/engine_pace.h"
#include "anvilcroft/fleet/slice_view.h"
#include "anvilcroft/target_pool.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct EngineState {
  TargetEntry entry;
  // Weight version by model, from the list, the engine's reports and answers, and the events of
  // runs.
  std::map<std::string, int64_t> versions;
  std::string loading_model;  // empty: no load in progress
  int64_t loading_version = 0;
  TimePoint loading_since;
  // The engine refused a run because this state does not match its own. It receives no items until
  // its report has been read.
  bool unconfirmed = false;
  // No order is sent before this time: an order may be in progress, the engine refused one, or its
  // report is being read or could not be read.
  TimePoint busy_until;
  std::optional<int64_t> orders_accepted;  // since the engine's start; nullopt: not known
  std::map<std::string, int> running;      // own runs by model
  int awaiting_permit = 0;                 // of these, runs that wait for a permit to be sent
  EnginePace pace;

  // Share of the slots that this instance's runs use.
  double Load() const;
};

class EngineTracker {
 public:
  // A load that the list does not show as complete after this time is considered failed. A load
  // takes about a second, and longer while other engines load.
  static constexpr Duration kLoadLimit = seconds(6);

  // Applies the platform's list: adds and removes engines, resets the state of restarted ones and
  // records versions that have changed in the list. Leaves out engines outside `scope`.
  void Update(const std::map<std::string, PoolTarget>& targets, TimePoint now,
              const SliceScope& scope = SliceScope());

  EngineState* Find(const std::string& id);
  std::map<std::string, EngineState>& All() { return this->engines; }

  // Records that the engine accepted an order and is loading `version` of `model`.
  void RecordLoadStarted(const std::string& id, const std::string& model, int64_t version,
                         TimePoint now);

  // Records that the engine has `version` of `model`: a run produced events with it, or the engine
  // answered an order that it has the version. Ignores the empty name, under which jobs without a
  // model run: no report would ever correct its version.
  void RecordVersion(const std::string& id, const std::string& model, int64_t version);

  // The engine refused a run as meant for another version or another engine.
  void MarkUnconfirmed(const std::string& id);

  // Records that the engine took `duration` for an event.
  void RecordEventTime(const std::string& id, Duration duration, TimePoint now);

  // Expected times for the next events of an engine. Without events of its own, those of the median
  // engine.
  PaceForecast Forecast(const EngineState& state, TimePoint now) const;

  // Median of the normal times for an event of all engines, in ms.
  double MedianEventMs() const;

 private:
  std::map<std::string, EngineState> engines;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_TRACKER_H_
