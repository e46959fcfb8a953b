#ifndef ANVILCROFT_TARGET_FAILURE_HANDLER_H_
#define ANVILCROFT_TARGET_FAILURE_HANDLER_H_

// Handles a failed call of a target: updates the target's state and decides whether the work may
// be tried again.
//
// A target counts as crashed only after a new connection to it failed or showed that it restarted:
// a silent or reset connection may be the link's fault. A crash during a request counts against the
// request's fingerprint. When other targets that answered a moment ago refuse connections too, the
// network is assumed to be partitioned and no crash is counted.

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
  kRetryFree,     // not a sign of overload: another target may be tried outside the budget
  kRetryCharged,  // may be tried again within the retry budget
  kGiveUp,        // the error is final
};

class TargetFailureHandler {
 public:
  // New work avoids a target that was silent, or that refused for an unnamed reason or answered
  // wrongly, for this time. Without the pause a target that fails fast looks idle and draws work.
  static constexpr Duration kSilentPause = seconds(2);
  static constexpr Duration kRefusalPause = seconds(1);

  // Other targets that are probed to detect a partition, at most and at least. All must fail. Two,
  // because a request that crashes its targets is refused after two crashes and so cannot account
  // for three lost targets.
  static constexpr std::size_t kMaxPartitionProbes = 3;
  static constexpr std::size_t kMinPartitionProbes = 2;
  // Targets lost this recently are probed too: in a partition all are lost within moments.
  static constexpr Duration kRecentLoss = seconds(3);
  // Wait before the probes: a partition does not reach all connections in the same instant.
  static constexpr Duration kPartitionSettleTime = milliseconds(200);

  TargetFailureHandler(HttpClient& http, TargetTable& targets, CrashGuard& crashes);

  // Handles `error` of a call of `target` for the work with `fingerprint`, which has until
  // `deadline`. May open a new connection to the target. `start_before` is the identity of the
  // engine's run when the call began, or empty; `tried` are the targets that ran the work before.
  // May probe other targets too. Blocks `task` meanwhile.
  RetryDecision HandleFailure(Task& task, const std::shared_ptr<TargetState>& target,
                              const Error& error, const std::string& fingerprint,
                              const std::string& start_before, const std::set<std::string>& tried,
                              TimePoint deadline);

 private:
  RetryDecision HandleLostConnection(Task& task, const std::shared_ptr<TargetState>& target,
                                     const std::string& fingerprint,
                                     const std::string& start_before,
                                     const std::set<std::string>& tried);

  bool IsNetworkPartitioned(Task& task, std::set<std::string> ran);

  HttpClient& http;
  TargetTable& targets;
  CrashGuard& crashes;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_FAILURE_HANDLER_H_
