#ifndef ANVILCROFT_SHARING_STEP_TRACKER_H_
#define ANVILCROFT_SHARING_STEP_TRACKER_H_

// Remembers for how long the steps of each trainer have been deferred (step_order.h), so that each
// takes its turn. Held in memory by the owner of the batch jobs; a new owner starts anew.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/sharing/step_order.h"

namespace anvilcroft {

class StepTracker {
 public:
  // Returns the keys of the steps that are deferred at `now`. `trainers`: the trainer of each of
  // `steps`, in the same order. `slots`: concurrent runs that the engines take, by pool.
  std::set<std::size_t> Defer(std::vector<OpenStep> steps, const std::vector<std::string>& trainers,
                              const std::map<std::string, int>& slots, TimePoint now);

 private:
  std::map<std::string, Duration> deferred_for;  // by trainer, since a step was last in time
  TimePoint planned_at;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SHARING_STEP_TRACKER_H_
