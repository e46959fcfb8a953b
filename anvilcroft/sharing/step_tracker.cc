#include "anvilcroft/sharing/step_tracker.h"

#include <algorithm>
#include <utility>

namespace anvilcroft {
namespace {

// Longest time between two plans that counts as deferral; the owner may have been suspended.
constexpr Duration kMaxPlanGap = seconds(1);

}  // namespace

std::set<std::size_t> StepTracker::Defer(std::vector<OpenStep> steps,
                                         const std::vector<std::string>& trainers,
                                         const std::map<std::string, int>& slots, TimePoint now) {
  const Duration passed = this->planned_at == TimePoint()
                              ? Duration::zero()
                              : std::min<Duration>(now - this->planned_at, kMaxPlanGap);
  this->planned_at = now;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    // A step whose needed items have texts before its due time is in time.
    if (steps[i].work_ms <= 0 && steps[i].due_in > Duration::zero()) {
      this->deferred_for.erase(trainers[i]);
    }
    const auto found = this->deferred_for.find(trainers[i]);
    if (found != this->deferred_for.end()) steps[i].deferred_for = found->second;
  }
  std::set<std::size_t> deferred;
  for (const auto& [pool, count] : slots) {
    for (const std::size_t key : DeferredSteps(steps, pool, count)) deferred.insert(key);
  }
  std::set<std::string> behind;  // a trainer may have several open steps
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (deferred.count(steps[i].key) != 0) behind.insert(trainers[i]);
  }
  for (const std::string& trainer : behind) this->deferred_for[trainer] += passed;
  return deferred;
}

}  // namespace anvilcroft
