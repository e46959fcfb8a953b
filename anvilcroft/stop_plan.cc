#include "anvilcroft/stop_plan.h"

#include <algorithm>

namespace anvilcroft {
namespace {

// Share of the time until the end in which requests of any length are taken.
constexpr double kEarlyShare = 0.375;
// Time to write the last answers.
constexpr Duration kAnswerMargin = milliseconds(200);

}  // namespace

StopDecision DecideWhileStopping(const StopPlan& plan, const StopRequest& request, TimePoint now) {
  const TimePoint last_answer = plan.end - kAnswerMargin;
  StopDecision decision;
  decision.deadline = request.deadline;
  if (request.deadline <= last_answer) return decision;
  const bool early = now - plan.started < kEarlyShare * (plan.end - plan.started);
  const bool repeated_elsewhere = request.repeatable && !request.stream;
  decision.serve = now < last_answer && (early || repeated_elsewhere);
  if (!request.stream) decision.deadline = std::min(request.deadline, last_answer);
  return decision;
}

}  // namespace anvilcroft
