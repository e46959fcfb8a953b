#include "anvilcroft/target_choice.h"

#include <algorithm>

namespace anvilcroft {
namespace {

using Millis = std::chrono::duration<double, std::milli>;

// Older load reports are ignored: requests take tens of milliseconds, so the load has changed.
constexpr Duration kReportLifetime = milliseconds(500);
// A measured latency is used for this long after its last update; slow phases last seconds.
constexpr Duration kLatencyLifetime = seconds(4);
// Assumed round-trip time to another availability zone.
constexpr Millis kCrossZoneRoundTrip(11);
// A target that did not respond is penalized for this long per consecutive missing response.
constexpr Duration kNoResponsePenaltyTime = milliseconds(700);
constexpr int kMaxCountedNoResponses = 4;
// Expected latencies within this fraction above the lowest one count as equal.
constexpr double kTieTolerance = 0.1;

}  // namespace

Duration ExpectedLatency(const PoolTarget& target, const ChoiceContext& context, TimePoint now) {
  const bool has_latency =
      target.mean_latency > Duration::zero() && now - target.latency_at < kLatencyLifetime;
  const Millis work =
      has_latency ? std::max<Millis>(target.mean_latency, Millis(context.default_latency) / 4)
                  : Millis(context.default_latency);
  const bool has_report = target.report && now - target.reported_at < kReportLifetime;
  const double busy = std::max<double>(
      target.in_flight, has_report ? target.report->running + target.report->waiting : 0);
  const double slots = std::max(1, target.entry.slots);
  const double queued = std::max(0.0, busy + 1 - slots) / slots;
  Millis expected = work * (1 + 0.3 * busy / slots + queued);
  if (target.entry.zone != context.zone) expected += kCrossZoneRoundTrip;
  const auto permit_wait = context.permit_waits.find(target.entry.id);
  if (permit_wait != context.permit_waits.end()) expected += Millis(permit_wait->second);
  expected += Millis(context.failure_cost) * FailureProbability(target, now);
  const int no_responses = std::min(target.consecutive_no_responses, kMaxCountedNoResponses);
  if (no_responses > 0 &&
      now - target.last_no_response_at < no_responses * kNoResponsePenaltyTime) {
    expected += 2 * Millis(context.failure_cost);
  }
  if (target.removal_at) expected += Millis(context.failure_cost);
  return std::chrono::duration_cast<Duration>(expected);
}

const PoolTarget* ChooseTarget(const std::vector<const PoolTarget*>& candidates,
                               const ChoiceContext& context, TimePoint now) {
  std::vector<std::pair<Duration, const PoolTarget*>> scored;
  Duration best = Duration::max();
  for (const PoolTarget* target : candidates) {
    if (context.excluded.count(target->entry.id) != 0) continue;
    const Duration expected = ExpectedLatency(*target, context, now);
    scored.emplace_back(expected, target);
    best = std::min(best, expected);
  }
  if (scored.empty()) return nullptr;
  std::vector<const PoolTarget*> tied;
  for (const auto& [expected, target] : scored) {
    if (Millis(expected) <= Millis(best) * (1 + kTieTolerance)) tied.push_back(target);
  }
  return tied[static_cast<std::size_t>(context.random * static_cast<double>(tied.size())) %
              tied.size()];
}

}  // namespace anvilcroft
