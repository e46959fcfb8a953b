#ifndef ANVILCROFT_TARGET_JUDGE_H_
#define ANVILCROFT_TARGET_JUDGE_H_

// Decides, after a call of a target failed, what that says of the target and whether the work may
// be tried again.
//
// A target counts as dead only after a new connection to it failed: a silent or reset connection
// may be the link's fault. A target that died while it ran the request counts against the
// request's fingerprint. When other targets that answered a moment ago refuse connections too, the
// network is cut and no death is counted.

#include <memory>
#include <set>
#include <string>

#include "anvilcroft/crash_guard.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/target_state.h"
#include "anvilcroft/target_table.h"

namespace anvilcroft {

enum class Verdict {
  kRetryFree,     // not a sign of overload: another target may be tried at no cost
  kRetryCharged,  // may be tried again within the retry budget
  kGiveUp,        // the error is final
};

class TargetJudge {
 public:
  // New work avoids a target that was silent, or that refused for an unnamed reason or answered
  // wrongly, for this time. Without the pause a target that fails fast looks idle and draws work.
  static constexpr Duration kSilentPause = seconds(2);
  static constexpr Duration kRefusalPause = seconds(1);

  // Other targets that are asked whether the network is cut, and how many must refuse. Two,
  // because a request that crashes its targets is refused after two deaths and so cannot account
  // for three lost targets.
  static constexpr std::size_t kWitnesses = 3;
  static constexpr std::size_t kMinWitnesses = 2;
  // Targets that were lost this recently are asked too: in a cut all are lost within moments.
  static constexpr Duration kRecentLoss = seconds(3);
  // Wait before they are asked: a cut does not reach all connections in the same instant.
  static constexpr Duration kCutSettles = milliseconds(200);

  TargetJudge(HttpClient& http, TargetTable& targets, CrashGuard& crashes);

  // Judges `error` of a call of `target` for the work with `fingerprint`, which has until
  // `deadline`. May open a new connection to the target. `start_before` is the identity of the
  // engine's run when the call began; `tried` are the targets that ran the work before.
  Verdict Judge(Task& task, const std::shared_ptr<TargetState>& target, const Error& error,
                const std::string& fingerprint, const std::string& start_before,
                const std::set<std::string>& tried, TimePoint deadline);

 private:
  Verdict JudgeLostConnection(Task& task, const std::shared_ptr<TargetState>& target,
                              const std::string& fingerprint, const std::string& start_before,
                              const std::set<std::string>& tried);

  bool NetworkIsCut(Task& task, std::set<std::string> ran);

  HttpClient& http;
  TargetTable& targets;
  CrashGuard& crashes;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_JUDGE_H_
