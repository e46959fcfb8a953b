#ifndef ANVILCROFT_STOP_PLAN_H_
#define ANVILCROFT_STOP_PLAN_H_

// Decides about requests of callers that arrive while their instance stops. Pure.
//
// Load pattern: an instance is stopped as planned, without any other trouble. Callers with old
// addresses send it requests until these expire, and some requests take longer than the process
// will live. Other instances can serve them, if they learn of it before the request is passed on.

#include <tuple>

#include "anvilcroft/time.h"

namespace anvilcroft {

struct StopPlan {
  TimePoint started;
  TimePoint end;  // the process ends

  friend bool operator==(const StopPlan& a, const StopPlan& b) {
    return std::tie(a.started, a.end) == std::tie(b.started, b.end);
  }
  friend bool operator!=(const StopPlan& a, const StopPlan& b) { return !(a == b); }
};

// What matters about a request.
struct StopRequest {
  TimePoint deadline;
  bool repeatable = false;
  bool stream = false;
};

struct StopDecision {
  bool serve = true;
  TimePoint deadline;  // by which it is answered

  friend bool operator==(const StopDecision& a, const StopDecision& b) {
    return a.serve == b.serve && a.deadline == b.deadline;
  }
  friend bool operator!=(const StopDecision& a, const StopDecision& b) { return !(a == b); }
};

// A request that may last beyond the end is served only if it arrives in the first part of the
// grace period, when most of the time is left, or if it is short and may be repeated. Unless it is
// a stream, it is answered before the end in any case.
StopDecision DecideWhileStopping(const StopPlan& plan, const StopRequest& request, TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_STOP_PLAN_H_
