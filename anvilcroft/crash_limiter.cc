#include "anvilcroft/crash_limiter.h"

#include "anvilcroft/hash.h"
#include "anvilcroft/log.h"
#include "anvilcroft/tcp_probe.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "crashes";

// A start of a target. Its id alone may stand for several starts.
std::string StartOf(const TargetEntry& target) {
  return target.id + "@" + std::to_string(target.started_at);
}

}  // namespace

void CrashLimiter::OnConnectionLost(Task& task, const std::string& fingerprint,
                                    const std::string& request, const TargetEntry& target) {
  const TimePoint lost_at = SteadyNow();
  const bool ended = RefusesConnections(task, target.address, lost_at + kProbeTimeout);
  this->metrics.Increment(
      "anvilcroft_target_connections_lost_total",
      {{"service", target.service}, {"target", ended ? "ended" : "not_known_to_have_ended"}});
  if (!ended) return;
  LogInfo(kPart, "a target ended while it had this request",
          {{"request", request}, {"fingerprint", fingerprint}, {"target", StartOf(target)}});
}

void RequestCrashes::OnConnectionLost(Task& task, const TargetEntry& target) {
  if (!this->request.crash_limited) return;
  this->limiter.OnConnectionLost(task, this->Fingerprint(), this->request.message.id, target);
}

const std::string& RequestCrashes::Fingerprint() {
  if (this->fingerprint.empty()) {
    const auto& message = this->request.message;
    this->fingerprint =
        HexDigestOf({this->request.caller, this->request.host, message.target, message.body});
  }
  return this->fingerprint;
}

}  // namespace anvilcroft
