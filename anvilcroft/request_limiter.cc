#include "anvilcroft/request_limiter.h"

#include <numeric>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "limits";

std::string Describe(const std::optional<double>& per_second) {
  return per_second ? std::to_string(*per_second) : "none";
}

}  // namespace

void RequestLimiter::OnCall(const TargetEntry& target, CallPurpose purpose, TimePoint now) {
  this->targets[target.id].calls.Add(purpose, now);
  this->metrics.Increment("anvilcroft_target_calls_total",
                          {{"service", target.service}, {"purpose", CallPurposeName(purpose)}});
}

void RequestLimiter::OnAnswer(const TargetEntry& target, std::optional<double> limit,
                              TimePoint now) {
  TargetLimit& known = this->targets[target.id];
  if (known.started_at != target.started_at) {
    known.started_at = target.started_at;
    known.per_second.reset();
  }
  if (known.per_second == limit) return;
  const CallCounts::ByPurpose calls = known.calls.Recent(now);
  LogFields fields = {
      {"target", target.id},
      {"service", target.service},
      {"before", Describe(known.per_second)},
      {"per_second", Describe(limit)},
      {"recent_calls", std::to_string(std::accumulate(calls.begin(), calls.end(), 0))}};
  for (std::size_t i = 0; i < kCallPurposes; ++i) {
    if (calls[i] > 0) {
      fields.emplace_back(std::string(CallPurposeName(static_cast<CallPurpose>(i))) + "_calls",
                          std::to_string(calls[i]));
    }
  }
  LogInfo(kPart, "the request limit of a target changed", fields);
  known.per_second = limit;
}

}  // namespace anvilcroft
