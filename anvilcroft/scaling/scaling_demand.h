#ifndef ANVILCROFT_SCALING_SCALING_DEMAND_H_
#define ANVILCROFT_SCALING_SCALING_DEMAND_H_

// Derives the number of engines that a service needs from the steps that trainers submit.
//
// Load pattern: each trainer submits a step of 100 to 150 items every 4 s, all at once. A step is
// due 7.5 s later and is decided by its longest items, of about 159 events, while a mean item has
// 13 to 22. An event takes up to a third longer on an engine with all slots in use, so the engines
// have to work off the short items soon enough for the longest ones to run at a moderate load.
// Trainers may pause for some seconds, and a trainer may join.

#include <deque>
#include <string>
#include <vector>

#include "anvilcroft/time.h"

namespace anvilcroft {

// A submitted step, or a batch job that belongs to none.
struct StepDemand {
  std::string job;
  std::string model;
  TimePoint submitted_at;
  double events = 0;  // expected, of all items
  double longest_events =
      0;  // expected, of the longest item without which the step is not complete
  Duration due = Duration::zero();  // after the submission
};

// Steps within this time count, so that a pause between steps removes no engines.
constexpr Duration kDemandWindow = seconds(30);
// Time between two steps of a trainer.
constexpr Duration kStepInterval = seconds(4);

// The steps that were submitted within kDemandWindow.
class DemandWindow {
 public:
  bool Contains(const std::string& job) const;
  // Records a step unless its job is recorded already.
  void Record(const StepDemand& step);
  // Removes the steps that have left the window.
  void Expire(TimePoint now);
  const std::deque<StepDemand>& Steps() const { return this->steps; }

 private:
  std::deque<StepDemand> steps;
};

// The work of one interval between steps, if all trainers submit at the same time.
struct IntervalDemand {
  double events = 0;
  double longest_events = 0;
  Duration due = Duration::zero();  // the shortest one
};

// For each model, the largest work that was submitted within one interval; the sum over all models.
IntervalDemand SummarizeDemand(const std::deque<StepDemand>& steps);

// The number of engines of `slots` slots on which the steps are on time. `event_ms`: time for an
// event on an otherwise idle engine. The longest items are few, and their placement avoids slower
// engines, so the median engine's time is the one to use.
int RequiredEngines(const IntervalDemand& demand, double event_ms, int slots);

}  // namespace anvilcroft

#endif  // ANVILCROFT_SCALING_SCALING_DEMAND_H_
