#include "anvilcroft/permit_schedule.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"

namespace anvilcroft {
namespace {

// Shares of a limit that the standby grants, and that all instances that are alone grant together.
constexpr double kStandbyShare = 0.25;
constexpr double kAloneShare = 0.25;
// Least permits in a second of the keeper and the standby, and of an instance that is alone.
constexpr double kMinRate = 0.2;
constexpr double kMinAloneRate = 0.05;

}  // namespace

double PermitRate(double per_second, PermitRole role, std::size_t instances) {
  switch (role) {
    case PermitRole::kKeeper:
      break;
    case PermitRole::kStandby:
      return std::max(per_second * kStandbyShare, kMinRate);
    case PermitRole::kAlone:
      return std::max(
          per_second * kAloneShare / static_cast<double>(std::max<std::size_t>(1, instances)),
          kMinAloneRate);
  }
  return std::max(per_second, kMinRate);
}

Duration PermitSchedule::IntervalOf(double per_second) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / std::max(per_second, kMinAloneRate)));
}

PermitSchedule::PermitSchedule(double per_second, TimePoint now)
    : interval(IntervalOf(per_second)), next(now + this->interval) {}

void PermitSchedule::SetRate(double per_second) { this->interval = IntervalOf(per_second); }

PermitAnswer PermitSchedule::Request(Duration max_wait, TimePoint now) {
  this->next = std::max(this->next, now - kMaxCredit);
  const Duration wait = std::max(Duration::zero(), this->next - now);
  if (wait > max_wait) return {false, wait};
  this->next += this->interval;
  return {true, wait};
}

std::vector<std::string> PermitKeepers(const std::vector<FrontRecord>& fronts,
                                       const std::string& target) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(fronts.size());
  for (const FrontRecord& front : fronts) {
    ranked.emplace_back(RendezvousWeight(front.instance, target), front.instance);
  }
  const std::size_t count = std::min(kPermitKeepers, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<std::string> keepers;
  for (std::size_t i = 0; i < count; ++i) keepers.push_back(std::move(ranked[i].second));
  return keepers;
}

}  // namespace anvilcroft
