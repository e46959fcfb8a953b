#include "anvilcroft/target_paths.h"

#include <vector>

#include "anvilcroft/log.h"
#include "anvilcroft/tcp_probe.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "paths";

}  // namespace

void TargetPaths::Start() {
  this->metrics.RegisterGauge("anvilcroft_cut_off_from_targets", {},
                              [this] { return this->cut_off ? 1.0 : 0.0; });
  this->runtime.SpawnService("probe targets", [this](Task& task) {
    while (true) {
      while (!this->monitor.Suspicious()) this->suspicious.Wait(task);
      this->Probe(task);
    }
  });
}

void TargetPaths::OnOutcome(const TargetEntry& target, platform::PathOutcome outcome,
                            TimePoint now) {
  switch (outcome) {
    case platform::PathOutcome::kConnected:
      this->monitor.OnConnected(now);
      break;
    case platform::PathOutcome::kAnswered:
      this->monitor.OnAnswered(now);
      break;
    case platform::PathOutcome::kUnreachable:
      this->monitor.OnUnreachable(target.id, now);
      this->suspicious.NotifyAll();
      break;
  }
  this->UpdateCutOff(now);
}

void TargetPaths::UpdateCutOff(TimePoint now) {
  const bool now_cut_off = this->monitor.CutOff(this->pool.All().size());
  if (now_cut_off == this->cut_off) return;
  this->cut_off = now_cut_off;
  if (now_cut_off) {
    this->cut_off_at = now;
    this->metrics.Increment("anvilcroft_cut_offs_total", {});
    const Duration since = now - this->monitor.SuspiciousSince();
    LogWarning(kPart, "no target can be reached",
               {{"tried", std::to_string(this->monitor.Unreachable().size())},
                {"targets", std::to_string(this->pool.All().size())},
                {"suspicious_ms", std::to_string(ToMillis(since))}});
  } else {
    LogInfo(kPart, "targets can be reached again",
            {{"ms", std::to_string(ToMillis(now - this->cut_off_at))}});
  }
}

const TargetEntry* TargetPaths::ChooseProbe() {
  std::vector<const TargetEntry*> untried;
  std::vector<const TargetEntry*> tried;
  for (const auto& [id, target] : this->pool.All()) {
    (this->monitor.Unreachable().count(id) == 0 ? untried : tried).push_back(&target.entry);
  }
  const auto& candidates = untried.empty() ? tried : untried;
  if (candidates.empty()) return nullptr;
  return candidates[std::uniform_int_distribution<std::size_t>(
      0, candidates.size() - 1)(this->generator)];
}

void TargetPaths::Probe(Task& task) {
  const TargetEntry* chosen = this->ChooseProbe();
  if (chosen != nullptr) {
    const TargetEntry target = *chosen;
    const bool accepted =
        ProbeConnection(task, target.address, SteadyNow() + kProbeTimeout).has_value();
    this->metrics.Increment("anvilcroft_path_probes_total",
                            {{"outcome", accepted ? "accepted" : "failed"}});
    this->OnOutcome(
        target, accepted ? platform::PathOutcome::kConnected : platform::PathOutcome::kUnreachable,
        SteadyNow());
  }
  if (!this->monitor.Suspicious()) return;
  SleepUntil(task, SteadyNow() + (this->cut_off || chosen == nullptr ? kCutOffInterval
                                                                     : kSuspiciousInterval));
}

}  // namespace anvilcroft
