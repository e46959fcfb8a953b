#ifndef ANVILCROFT_SCALING_SCALING_PLAN_H_
#define ANVILCROFT_SCALING_SCALING_PLAN_H_

// Decides how many engines of each kind a service should have in each availability zone.
//
// Load pattern: 15 engines in each of three zones are present at the start, some or all of them
// reclaimable. Steps follow each other every 4 s and are lost if the engines are missing for a few
// seconds. On the worst days the platform takes back all reclaimable engines of one zone and, 5 s
// later, those of another, and for 11 s no reclaimable engine can be had in any zone. An ordered
// engine serves after 4 s. So the regular engines alone have to carry the steps, and they have to
// be ordered before the first step is known.
//
// A lost step is worth more than all engines cost in a minute: the numbers rise at once and are
// lowered in small parts, after the lower need has lasted for several steps.

#include <deque>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/scaling/engine_scaling.h"
#include "anvilcroft/scaling/scaling_demand.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

// The engines of one kind in one zone.
struct EngineGroup {
  std::string zone;
  bool reclaimable = false;
  int present = 0;  // that accept requests or boot visibly, without those that leave
  int busy = 0;     // of these, with running requests
  // The number that the platform aims at: the last order, or the engines present if none has been
  // ordered since the platform took engines away.
  int intended = 0;
  int initial = 0;              // the engines that were present before the first order
  TimePoint raised_at;          // when engines were last ordered
  TimePoint unavailable_until;  // an order was refused because none are to be had
  bool settled = true;          // every order was answered, and none may still be carried out
};

// What a plan passes to the next one.
struct ScalingMemory {
  // Since when some zone has more engines of a kind than it should.
  std::optional<TimePoint> surplus_since;
  std::optional<TimePoint> demand_since;  // since when steps have been known
  std::optional<TimePoint> changed_at;    // last reduction or shift

  friend bool operator==(const ScalingMemory& a, const ScalingMemory& b) {
    return std::tie(a.surplus_since, a.demand_since, a.changed_at) ==
           std::tie(b.surplus_since, b.demand_since, b.changed_at);
  }
  friend bool operator!=(const ScalingMemory& a, const ScalingMemory& b) { return !(a == b); }
};

struct ScalingInputs {
  EngineScaling scaling;
  int slots = 1;                  // of one engine
  double event_ms = 0;            // for an event on an otherwise idle engine
  std::deque<StepDemand> steps;   // within kDemandWindow
  double outstanding_events = 0;  // expected, of all unfinished items
  // Since when this instance has seen the steps and engines without interruption.
  TimePoint observed_since;
  TimePoint lost_at;  // when the platform last took engines away
  ScalingMemory memory;
  std::vector<EngineGroup> groups;
};

enum class CountReason {
  kKeep,
  kBeforeDemand,  // secures regular engines before the first step is known
  kDemand,
  kMinimum,
  kSurplus,  // fewer engines are needed
  kShift,    // replaces engines of a more expensive zone or kind, which are removed later
};

const char* CountReasonName(CountReason reason);

struct PlannedCount {
  std::string zone;
  bool reclaimable = false;
  int count = 0;
  CountReason reason = CountReason::kKeep;

  friend bool operator==(const PlannedCount& a, const PlannedCount& b) {
    return std::tie(a.zone, a.reclaimable, a.count, a.reason) ==
           std::tie(b.zone, b.reclaimable, b.count, b.reason);
  }
  friend bool operator!=(const PlannedCount& a, const PlannedCount& b) { return !(a == b); }
};

struct ScalingPlan {
  int secure = 0;                    // engines that must remain after any loss of reclaimable ones
  int total = 0;                     // engines that the steps should have
  std::vector<PlannedCount> counts;  // one for each group, in the same order
  ScalingMemory memory;
};

// How long fewer engines must have been needed before the number is lowered.
Duration LoweringDelay(const EngineScaling& scaling);

// `inputs.groups` holds each zone and kind that may be ordered or is present.
ScalingPlan PlanEngines(const ScalingInputs& inputs, TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_SCALING_SCALING_PLAN_H_
