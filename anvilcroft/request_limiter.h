#ifndef ANVILCROFT_REQUEST_LIMITER_H_
#define ANVILCROFT_REQUEST_LIMITER_H_

// The request limits that targets name, and this instance's calls to each target.
//
// A target that is short of capacity names in its answers how many requests a second it takes from
// all instances together.

#include <map>
#include <optional>
#include <string>

#include "anvilcroft/call_counts.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/target_entry.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class RequestLimiter {
 public:
  explicit RequestLimiter(Metrics& metrics) : metrics(metrics) {}

  // Records a call to `target` that is about to be sent.
  void OnCall(const TargetEntry& target, CallPurpose purpose, TimePoint now);

  // Records the limit in an answer of `target`, in requests a second; nullopt: it named none.
  void OnAnswer(const TargetEntry& target, std::optional<double> limit, TimePoint now);

 private:
  struct TargetLimit {
    WallMillis started_at = 0;  // start of the target that named the limit
    std::optional<double> per_second;
    CallCounts calls;
  };

  Metrics& metrics;
  std::map<std::string, TargetLimit> targets;  // by id
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_REQUEST_LIMITER_H_
