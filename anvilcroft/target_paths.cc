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
  for (int i = 0; i < kProbers; ++i) {
    this->runtime.SpawnService("probe targets", [this](Task& task) {
      while (true) {
        while (!this->monitor.Suspicious()) this->suspicious.Wait(task);
        this->Probe(task);
      }
    });
  }
}

std::optional<RelayPeer> TargetPaths::ChooseRelay(const PathQuery& query, TimePoint now) {
  const bool silent =
      !query.silent_target.empty() && this->monitor.ReachedAt() < query.silent_since;
  if (silent) {
    this->monitor.OnUnreachable(query.silent_target, now);
    this->suspicious.NotifyAll();
    this->UpdateCutOff(now);
  }
  if (!silent && !this->cut_off) return std::nullopt;
  RelayContext context;
  context.self = this->directory.Self().instance;
  context.zone = this->directory.Self().zone;
  context.tried = *query.tried;
  context.failed = this->failed_relays;
  context.failed_pause = kFailedRelayPause;
  context.last_relay = this->last_relay;
  context.random = std::uniform_real_distribution<double>(0, 1)(this->generator);
  const FrontRecord* chosen = anvilcroft::ChooseRelay(this->directory.LiveFronts(), context, now);
  if (chosen == nullptr) return std::nullopt;
  const auto address = ParseEndpoint(chosen->internal_address);
  if (!address) return std::nullopt;
  return RelayPeer{chosen->instance, *address};
}

void TargetPaths::OnRelay(const RelayPeer& peer, bool relayed, TimePoint now) {
  this->metrics.Increment("anvilcroft_relayed_requests_total",
                          {{"outcome", relayed ? "relayed" : "failed"}});
  if (relayed) {
    this->last_relay = peer.instance;
    this->failed_relays.erase(peer.instance);
    return;
  }
  if (this->last_relay == peer.instance) this->last_relay.clear();
  this->failed_relays[peer.instance] = now;
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
  this->directory.SetCutOff(now_cut_off);
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
