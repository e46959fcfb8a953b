#include "anvilcroft/fleet/slice_timer.h"

#include <algorithm>

namespace anvilcroft {
namespace {

// Whether `wanted` has fewer slices than `current`, in all or for a family that keeps its services.
bool Shrinks(const SlicePlan& current, const SlicePlan& wanted) {
  if (wanted.count != current.count) return wanted.count < current.count;
  return std::any_of(wanted.families.begin(), wanted.families.end(), [&](const SliceFamily& next) {
    return std::any_of(current.families.begin(), current.families.end(),
                       [&next](const SliceFamily& before) {
                         return before.services == next.services && next.width < before.width;
                       });
  });
}

}  // namespace

bool SliceTimer::ShouldChange(const SlicePlan& current, const SlicePlan& wanted, TimePoint now) {
  if (wanted == current) {
    this->differs_since.reset();
    this->grows_since.reset();
    return false;
  }
  if (!this->differs_since) this->differs_since = now;
  if (Shrinks(current, wanted)) {
    this->grows_since.reset();
  } else if (!this->grows_since) {
    this->grows_since = now;
  }
  if (this->changed_at && now - *this->changed_at < kMinInterval) return false;
  return (this->grows_since && now - *this->grows_since >= kGrowAfter) ||
         now - *this->differs_since >= kShrinkAfter;
}

void SliceTimer::RecordChange(TimePoint now) {
  this->Reset();
  this->changed_at = now;
}

}  // namespace anvilcroft
