#include "anvilcroft/sharing/step_order.h"

#include <algorithm>

namespace anvilcroft {
namespace {

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Whether the trainer of `step` has been deferred for so long that it takes its turn.
bool TakesTurn(const OpenStep& step) { return step.deferred_for > kTurnAfter * step.time_limit; }

// Whether `step` cannot be in time even if it had all slots.
bool CertainlyLate(const OpenStep& step, int slots) {
  return std::max(step.longest_ms, step.work_ms / slots) > Millis(step.due_in);
}

}  // namespace

std::vector<std::size_t> DeferredSteps(const std::vector<OpenStep>& steps, const std::string& pool,
                                       int slots) {
  std::vector<const OpenStep*> open;
  for (const OpenStep& step : steps) {
    if (step.pool == pool && step.work_ms > 0) open.push_back(&step);
  }
  if (open.size() < 2 || slots < 1) return {};
  std::stable_sort(open.begin(), open.end(), [slots](const OpenStep* a, const OpenStep* b) {
    // A late step comes behind those that can be in time.
    const bool a_late = CertainlyLate(*a, slots) && !TakesTurn(*a);
    const bool b_late = CertainlyLate(*b, slots) && !TakesTurn(*b);
    return std::make_tuple(a_late, a->priority, !TakesTurn(*a), a->due_in) <
           std::make_tuple(b_late, b->priority, !TakesTurn(*b), b->due_in);
  });
  std::vector<std::size_t> deferred;
  double reserved_ms = 0;  // slot time of the steps that are kept
  bool kept_any = false;
  for (const OpenStep* step : open) {
    const double end_ms = (reserved_ms + step->work_ms) / slots;
    const bool in_time = std::max(end_ms, step->longest_ms) <= Millis(step->due_in);
    if (in_time || !kept_any || TakesTurn(*step)) {
      reserved_ms += step->work_ms;
      kept_any = true;
    } else {
      deferred.push_back(step->key);
    }
  }
  return deferred;
}

}  // namespace anvilcroft
