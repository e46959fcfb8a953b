#ifndef ANVILCROFT_TARGET_FAILURE_HANDLER_H_
#define ANVILCROFT_TARGET_FAILURE_HANDLER_H_

// Handles a failed call to a target: updates the target's state and decides whether the work may be
// retried.
//
// A target counts as crashed only if a new connection to it fails as well, or if it has restarted:
// a silent or reset connection may be a fault of the link. A crash while the target ran the request
// counts against the request's fingerprint. If other targets that answered a moment ago refuse
// connections too, the network is assumed to be partitioned and no crash is counted.

#include <memory>
#include <set>
#include <string>

#include "anvilcroft/crash_guard.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/target_state.h"
#include "anvilcroft/target_table.h"

namespace anvilcroft {

enum class RetryDecision {
  kRetryFree,     // not a sign of overload: may be retried without using the retry budget
  kRetryCharged,  // may be retried within the retry budget
  kGiveUp,        // the error is final
};

class TargetFailureHandler {
 public:
  // Time for which a target gets no new work after it was silent, or after it refused work for an
  // unspecified reason or sent a bad response. Without the pause, a target that fails fast looks
  // idle and attracts work.
  static constexpr Duration kSilentPause = seconds(2);
  static constexpr Duration kRefusalPause = seconds(1);

  // Maximum number of other targets that are probed to detect a network partition, and minimum
  // number of probes, all of which must fail. Two, because a request that crashes its targets is
  // refused after two crashes and so cannot account for three lost targets.
  static constexpr std::size_t kMaxPartitionProbes = 3;
  static constexpr std::size_t kMinPartitionProbes = 2;
  // Targets that were lost within this time are probed too, because a partition makes many targets
  // unreachable almost at once.
  static constexpr Duration kRecentLoss = seconds(3);
  // Wait before the probes: a partition does not affect all connections at the same instant.
  static constexpr Duration kPartitionSettleTime = milliseconds(200);

  TargetFailureHandler(HttpClient& http, TargetTable& targets, CrashGuard& crashes);

  // Handles `error`, the result of a call to `target`, and returns whether the work may be retried.
  // `fingerprint` and `deadline` are those of the request. `start_before` identifies the engine
  // process at the start of the call, or is empty; `tried` holds the targets of earlier attempts.
  // May open new connections to this and other targets, and blocks `task` meanwhile.
  RetryDecision HandleFailure(Task& task, const std::shared_ptr<TargetState>& target,
                              const Error& error, const std::string& fingerprint,
                              const std::string& start_before, const std::set<std::string>& tried,
                              TimePoint deadline);

 private:
  RetryDecision HandleLostConnection(Task& task, const std::shared_ptr<TargetState>& target,
                                     const std::string& fingerprint,
                                     const std::string& start_before,
                                     const std::set<std::string>& tried);

  // Returns whether several targets outside `ran`, the targets that ran the request, refuse
  // connections. Returns false if too few can be probed: the target is then assumed to have
  // crashed, because an undetected crash costs further targets.
  bool IsNetworkPartitioned(Task& task, std::set<std::string> ran);

  HttpClient& http;
  TargetTable& targets;
  CrashGuard& crashes;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_FAILURE_HANDLER_H_
