#ifndef ANVILCROFT_CRASH_LIMITER_H_
#define ANVILCROFT_CRASH_LIMITER_H_

// Reports which requests a target had when its process ended.
//
//   RequestCrashes crashes(limiter, request);
//   ... the connection to `target` is lost before it has answered ...
//   crashes.OnConnectionLost(task, target);

#include <string>

#include "anvilcroft/live_request.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/target_entry.h"

namespace anvilcroft {

class CrashLimiter {
 public:
  // A host answers within this time whether a process listens; it is at most a few tens of
  // milliseconds away.
  static constexpr Duration kProbeTimeout = milliseconds(100);

  explicit CrashLimiter(Metrics& metrics) : metrics(metrics) {}

  // Checks whether the process of `target` has ended, and records a crash if it has.
  void OnConnectionLost(Task& task, const std::string& fingerprint, const std::string& request,
                        const TargetEntry& target);

 private:
  Metrics& metrics;
};

// The crashes under one request of a caller, which may be sent to several targets.
class RequestCrashes {
 public:
  // `request` must outlive this. Does nothing if the request is owed whatever crashes under it
  // (LiveRequest::crash_limited).
  RequestCrashes(CrashLimiter& limiter, const LiveRequest& request)
      : limiter(limiter), request(request) {}

  void OnConnectionLost(Task& task, const TargetEntry& target);

 private:
  // Equal for requests with the same path, caller and body.
  const std::string& Fingerprint();

  CrashLimiter& limiter;
  const LiveRequest& request;
  std::string fingerprint;  // empty until it is needed
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CRASH_LIMITER_H_
