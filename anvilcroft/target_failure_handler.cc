#include "anvilcroft/target_failure_handler.h"

#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "routing";

// Returns the id of the target process that crashed. A target that does not report a process
// identity gets a new id for each crash.
std::string RunId(const TargetState& target, const std::string& start, TimePoint now) {
  if (!start.empty()) return TargetTable::RunId(target.Description().Id(), start);
  return TargetTable::RunId(target.Description().Id(),
                            "lost " + std::to_string(ToMillis(now.time_since_epoch())));
}

}  // namespace

TargetFailureHandler::TargetFailureHandler(HttpClient& http, TargetTable& targets,
                                           CrashGuard& crashes)
    : http(http), targets(targets), crashes(crashes) {}

RetryDecision TargetFailureHandler::HandleFailure(
    Task& task, const std::shared_ptr<TargetState>& target, const Error& error,
    const std::string& fingerprint, const std::string& start_before,
    const std::set<std::string>& tried, TimePoint deadline) {
  const TimePoint now = SteadyNow();
  const Endpoint address = target->Description().Address();
  switch (error.code) {
    case ErrorCode::kConnectFailed:
      // A connection attempt that ended at the request's deadline is no evidence against the
      // target.
      if (now >= deadline) return RetryDecision::kGiveUp;
      this->http.Forget(address);
      target->OnLost(now);
      return RetryDecision::kRetryFree;
    case ErrorCode::kLeaving:
      if (error.part == "swapping") {
        target->OnSwapping(now);
      } else {
        target->OnLeaving(now);
      }
      return RetryDecision::kRetryFree;
    case ErrorCode::kOverloaded:
      target->AvoidUntil(now + kRefusalPause);
      return RetryDecision::kRetryCharged;
    case ErrorCode::kConnectionLost:
      return this->HandleLostConnection(task, target, fingerprint, start_before, tried);
    case ErrorCode::kDeadlineExceeded: {
      // Pooled idle connections over the same silent path are unusable too.
      this->http.Forget(address);
      if (now >= deadline) return RetryDecision::kGiveUp;
      LogWarning(kPart, "no data from target within the silence limit; probing it",
                 {{"target", target->Description().Id()}});
      this->targets.Probe(task, target);
      // An engine produces no tokens while it loads weights, which is no sign of overload.
      if (target->Phase() == TargetPhase::kLost || target->Phase() == TargetPhase::kSwapping) {
        return RetryDecision::kRetryFree;
      }
      target->AvoidUntil(SteadyNow() + kSilentPause);
      return RetryDecision::kRetryCharged;
    }
    case ErrorCode::kBadResponse:
      this->http.Forget(address);
      target->AvoidUntil(now + kRefusalPause);
      return RetryDecision::kRetryCharged;
    default:
      return RetryDecision::kGiveUp;
  }
}

RetryDecision TargetFailureHandler::HandleLostConnection(Task& task,
                                                         const std::shared_ptr<TargetState>& target,
                                                         const std::string& fingerprint,
                                                         const std::string& start_before,
                                                         const std::set<std::string>& tried) {
  this->http.Forget(target->Description().Address());
  this->targets.Probe(task, target);
  const bool refused = target->Phase() == TargetPhase::kLost;
  // An engine that restarted immediately accepts connections again, but reports a different start.
  const bool restarted = !start_before.empty() && target->InstanceStart() != start_before;
  if (!refused && !restarted) return RetryDecision::kRetryCharged;
  std::set<std::string> ran = tried;
  ran.insert(target->Description().Id());
  if (!restarted && this->IsNetworkPartitioned(task, std::move(ran))) {
    LogWarning(kPart,
               "several targets refuse connections at once; assuming a network partition and not "
               "counting a crash",
               {{"target", target->Description().Id()}});
    return RetryDecision::kRetryCharged;
  }
  LogWarning(kPart, "a target died while it ran a request",
             {{"target", target->Description().Id()}, {"fingerprint", fingerprint}});
  this->crashes.AddDeath(fingerprint, RunId(*target, start_before, SteadyNow()), SteadyNow());
  return RetryDecision::kRetryFree;
}

bool TargetFailureHandler::IsNetworkPartitioned(Task& task, std::set<std::string> ran) {
  SleepUntil(task, SteadyNow() + kPartitionSettleTime);
  const auto probe_targets =
      this->targets.PartitionProbeTargets(ran, SteadyNow() - kRecentLoss, kMaxPartitionProbes);
  if (probe_targets.size() < kMinPartitionProbes) return false;
  for (const auto& probe_target : probe_targets) {
    this->targets.Probe(task, probe_target);
    if (probe_target->Phase() != TargetPhase::kLost) return false;
  }
  return true;
}

}  // namespace anvilcroft
