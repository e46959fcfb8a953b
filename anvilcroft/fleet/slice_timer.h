#ifndef ANVILCROFT_FLEET_SLICE_TIMER_H_
#define ANVILCROFT_FLEET_SLICE_TIMER_H_

// Decides when a wanted change of the slice plan is made.
//
// Load pattern: a zone's engines disappear for seconds and return, engines restart one after the
// other, and a fleet grows by hundreds of engines within a minute. Each change of the plan
// interrupts all unfinished items once and pauses the orders to engines for one lease duration.

#include <optional>

#include "anvilcroft/fleet/slice_plan.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class SliceTimer {
 public:
  static constexpr Duration kGrowAfter = seconds(3);
  // Longer than engines take to restart or to be replaced after the loss of a zone.
  static constexpr Duration kShrinkAfter = seconds(30);
  static constexpr Duration kMinInterval = seconds(10);  // between two changes

  // Returns whether to change from `current` to `wanted` at `now`. Call at regular intervals; a
  // wanted change counts from the first call in a row that wants one of its kind, and stays due
  // until RecordChange is called.
  bool ShouldChange(const SlicePlan& current, const SlicePlan& wanted, TimePoint now);

  // Records that the plan was changed at `now`.
  void RecordChange(TimePoint now);

  // Forgets what was wanted, for example when the lease is lost.
  void Reset() { *this = SliceTimer(); }

 private:
  std::optional<TimePoint> differs_since;
  std::optional<TimePoint> grows_since;
  std::optional<TimePoint> changed_at;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_FLEET_SLICE_TIMER_H_
