#ifndef ANVILCROFT_SHARING_STEP_ORDER_H_
#define ANVILCROFT_SHARING_STEP_ORDER_H_

// Decides which training steps are worked on first when the engines cannot finish all
// of them in time.
//
// Load pattern: several trainers submit a step each every few seconds, and the engines of an
// availability zone are reclaimed, so that the open steps together need more slots than are left. A
// step counts only as a whole and by its due time. If all steps get their share of the slots, all
// become late; if they are served one after the other, most of them are still in time, and their
// trainers, which wait for them, go on.
//
// Steps of more urgent routes come first, then those that are due first. A step that fits behind
// them, into the slots that are left until its due time, is kept; one that does not is deferred as
// a whole. A deferred step still gets the slots that the others leave free. A trainer whose steps
// have been deferred for longer than kTurnAfter comes first among those of its priority until one
// is in time, so that none is starved.

#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/time.h"

namespace anvilcroft {

// In times from the submission of a step to its due time. Each turn of a trainer that is behind
// makes steps of the others late, so turns are rare.
constexpr double kTurnAfter = 2;

struct OpenStep {
  std::size_t key = 0;    // chosen by the caller; identifies the step in the result
  std::string pool;       // of the services whose engines run it (service_pools.h)
  int priority = 0;       // 0 is the most urgent
  Duration due_in{};      // until its due time; negative: it is late
  Duration time_limit{};  // from its submission to its due time
  double work_ms = 0;     // slot time that its needed items still take
  double longest_ms = 0;  // time that its longest needed item still takes
  // Time for which the steps of its trainer have been deferred since one was last in time.
  Duration deferred_for{};

  friend bool operator==(const OpenStep& a, const OpenStep& b) {
    return std::tie(a.key, a.pool, a.priority, a.due_in, a.time_limit, a.work_ms, a.longest_ms,
                    a.deferred_for) == std::tie(b.key, b.pool, b.priority, b.due_in, b.time_limit,
                                                b.work_ms, b.longest_ms, b.deferred_for);
  }
  friend bool operator!=(const OpenStep& a, const OpenStep& b) { return !(a == b); }
};

// Returns the keys of the steps that are deferred: their items start behind those of all other
// steps of the pool. `slots`: concurrent runs that the engines of `pool` take. Returns none
// if all steps can be in time, or if only one is open.
std::vector<std::size_t> DeferredSteps(const std::vector<OpenStep>& steps, const std::string& pool,
                                       int slots);

}  // namespace anvilcroft

#endif  // ANVILCROFT_SHARING_STEP_ORDER_H_
