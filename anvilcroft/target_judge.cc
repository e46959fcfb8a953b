#include "anvilcroft/target_judge.h"

#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "routing";

// Names the run that died. A target that does not identify its runs gets a name of its own for
// each death.
std::string RunName(const TargetState& target, const std::string& start, TimePoint now) {
  if (!start.empty()) return TargetTable::RunName(target.Description().Id(), start);
  return TargetTable::RunName(target.Description().Id(),
                              "lost " + std::to_string(ToMillis(now.time_since_epoch())));
}

}  // namespace

TargetJudge::TargetJudge(HttpClient& http, TargetTable& targets, CrashGuard& crashes)
    : http(http), targets(targets), crashes(crashes) {}

Verdict TargetJudge::Judge(Task& task, const std::shared_ptr<TargetState>& target,
                           const Error& error, const std::string& fingerprint,
                           const std::string& start_before, const std::set<std::string>& tried,
                           TimePoint deadline) {
  const TimePoint now = SteadyNow();
  const Endpoint address = target->Description().Address();
  switch (error.code) {
    case ErrorCode::kConnectFailed:
      // A connection given up at the request's own deadline says nothing of the target.
      if (now >= deadline) return Verdict::kGiveUp;
      this->http.CloseIdleConnections(address);
      target->OnLost(now);
      return Verdict::kRetryFree;
    case ErrorCode::kLeaving:
      if (error.part == "swapping") {
        target->OnSwapping(now);
      } else {
        target->OnLeaving(now);
      }
      return Verdict::kRetryFree;
    case ErrorCode::kOverloaded:
      target->Suspect(now + kRefusalPause);
      return Verdict::kRetryCharged;
    case ErrorCode::kConnectionLost:
      return this->JudgeLostConnection(task, target, fingerprint, start_before, tried);
    case ErrorCode::kDeadlineExceeded: {
      // Idle connections over the same silent path are of no use either.
      this->http.CloseIdleConnections(address);
      if (now >= deadline) return Verdict::kGiveUp;
      LogWarning(kPart, "a target was silent; opening a new connection to it",
                 {{"target", target->Description().Id()}});
      this->targets.Probe(task, target);
      // An engine that loads weights produces no tokens meanwhile; that is no sign of overload.
      if (target->Phase() == TargetPhase::kLost || target->Phase() == TargetPhase::kSwapping) {
        return Verdict::kRetryFree;
      }
      target->Suspect(SteadyNow() + kSilentPause);
      return Verdict::kRetryCharged;
    }
    case ErrorCode::kBadResponse:
      this->http.CloseIdleConnections(address);
      target->Suspect(now + kRefusalPause);
      return Verdict::kRetryCharged;
    default:
      return Verdict::kGiveUp;
  }
}

Verdict TargetJudge::JudgeLostConnection(Task& task, const std::shared_ptr<TargetState>& target,
                                         const std::string& fingerprint,
                                         const std::string& start_before,
                                         const std::set<std::string>& tried) {
  this->http.CloseIdleConnections(target->Description().Address());
  this->targets.Probe(task, target);
  const bool refused = target->Phase() == TargetPhase::kLost;
  // An engine that was restarted at once accepts connections again, but as another run.
  const bool restarted = !start_before.empty() && target->InstanceStart() != start_before;
  if (!refused && !restarted) return Verdict::kRetryCharged;
  std::set<std::string> ran = tried;
  ran.insert(target->Description().Id());
  if (!restarted && this->NetworkIsCut(task, std::move(ran))) {
    LogWarning(kPart, "several targets refuse connections at once; the network may be cut",
               {{"target", target->Description().Id()}});
    return Verdict::kRetryCharged;
  }
  LogWarning(kPart, "a target died while it ran a request",
             {{"target", target->Description().Id()}, {"fingerprint", fingerprint}});
  this->crashes.AddCrash(fingerprint, RunName(*target, start_before, SteadyNow()), SteadyNow());
  return Verdict::kRetryFree;
}

// Whether targets on which the request did not run refuse connections as well. With too few of them
// to ask, the target is taken for dead: an undetected crash costs more targets.
bool TargetJudge::NetworkIsCut(Task& task, std::set<std::string> ran) {
  SleepUntil(task, SteadyNow() + kCutSettles);
  const auto witnesses = this->targets.Witnesses(ran, SteadyNow() - kRecentLoss, kWitnesses);
  if (witnesses.size() < kMinWitnesses) return false;
  for (const auto& witness : witnesses) {
    this->targets.Probe(task, witness);
    if (witness->Phase() != TargetPhase::kLost) return false;
  }
  return true;
}

}  // namespace anvilcroft
