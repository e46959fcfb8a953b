#ifndef ANVILCROFT_ENGINE_TRACKER_H_
#define ANVILCROFT_ENGINE_TRACKER_H_

// What the owner of the batch jobs knows of each model engine beyond the platform's list: weight
// loads in progress, orders accepted, and the pace of its own runs.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "anvilcroft/target_pool.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct EngineState {
  TargetEntry entry;
  // Versions by model, from the list, from orders that were accepted and from refusals.
  std::map<std::string, int64_t> versions;
  std::string loading_model;  // empty: no load in progress
  int64_t loading_version = 0;
  TimePoint loading_since;
  // The engine contradicted what is believed of it; it gets no work until it has been asked.
  bool unconfirmed = false;
  TimePoint busy_until;                    // an order whose outcome is unknown may be in progress
  std::optional<int64_t> orders_accepted;  // since the engine's start; nullopt: not known
  std::map<std::string, int> running;      // own runs by model
  double average_event_ms = 0;             // mean time of an event; 0: not known
  double recent_event_ms = 0;              // the same over the last few events
  TimePoint last_event;
};

class EngineTracker {
 public:
  // A load that has not shown in the list after this long is taken for lost. A load takes about a
  // second, and longer beside others.
  static constexpr Duration kLoadLimit = seconds(6);

  // Takes over what the list says now.
  void Update(const std::map<std::string, PoolTarget>& targets, TimePoint now);

  EngineState* Find(const std::string& id);
  std::map<std::string, EngineState>& All() { return this->engines; }

  // An order was accepted: the engine loads `version` of `model`.
  void LoadStarted(const std::string& id, const std::string& model, int64_t version, TimePoint now);

  // A run under `version` of `model` has begun, or the engine says that it holds it.
  void RecordVersion(const std::string& id, const std::string& model, int64_t version);

  // The engine refused a run as meant for another version or another engine.
  void MarkUnconfirmed(const std::string& id);

  // An event took `took`.
  void RecordEventTime(const std::string& id, Duration took, TimePoint now);

  // Expected time of the next events of an engine, ms each: the recent pace if there is one, else
  // its usual one, else the median of all engines.
  double EventMs(const EngineState& engine, TimePoint now) const;

  // Median of the usual pace of all engines, ms an event.
  double MedianEventMs() const;

 private:
  std::map<std::string, EngineState> engines;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_TRACKER_H_
