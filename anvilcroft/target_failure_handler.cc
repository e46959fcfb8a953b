#include "anvilcroft/target_failure_handler.h"

#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "routing";

// Identifies the run that crashed. A target that does not identify its runs gets a new id for
// each crash.
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
      // A connection given up at the deadline of the request says nothing about the target.
      if (now >= deadline) return RetryDecision::kGiveUp;
      this->http.CloseIdleConnections(address);
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
      // Idle connections over the same silent path are of no use either.
      this->http.CloseIdleConnections(address);
      if (now >= deadline) return RetryDecision::kGiveUp;
      LogWarning(kPart, "a target did not respond in time; probing it over a new connection",
                 {{"target", target->Description().Id()}});
      this->targets.Probe(task, target);
      // An engine that loads weights produces no tokens meanwhile; that is no sign of overload.
      if (target->Phase() == TargetPhase::kLost || target->Phase() == TargetPhase::kSwapping) {
        return RetryDecision::kRetryFree;
      }
      target->AvoidUntil(SteadyNow() + kSilentPause);
      return RetryDecision::kRetryCharged;
    }
    case ErrorCode::kBadResponse:
      this->http.CloseIdleConnections(address);
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
  this->http.CloseIdleConnections(target->Description().Address());
  this->targets.Probe(task, target);
  const bool refused = target->Phase() == TargetPhase::kLost;
  // An engine that was restarted at once accepts connections again, but as another run.
  const bool restarted = !start_before.empty() && target->InstanceStart() != start_before;
  if (!refused && !restarted) return RetryDecision::kRetryCharged;
  std::set<std::string> ran = tried;
  ran.insert(target->Description().Id());
  if (!restarted && this->IsNetworkPartitioned(task, std::move(ran))) {
    LogWarning(kPart, "several targets refuse connections at once; assuming a network partition",
               {{"target", target->Description().Id()}});
    return RetryDecision::kRetryCharged;
  }
  LogWarning(kPart, "a target crashed while it ran a request",
             {{"target", target->Description().Id()}, {"fingerprint", fingerprint}});
  this->crashes.AddCrash(fingerprint, RunId(*target, start_before, SteadyNow()), SteadyNow());
  return RetryDecision::kRetryFree;
}

// Whether targets on which the request did not run refuse connections as well. With too few of them
// to probe, the target is assumed to have crashed: an undetected crash costs more targets.
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
