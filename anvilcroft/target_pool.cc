#include "anvilcroft/target_pool.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace anvilcroft {
namespace {

// Weight of the newest latency in the exponential moving average.
constexpr double kLatencyGain = 0.2;

// The factor by which counts decay between `from` and `now`.
double DecayFactor(TimePoint from, TimePoint now) {
  const std::chrono::duration<double> age = now - from;
  const std::chrono::duration<double> half = TargetPool::kHealthHalfLife;
  return std::exp2(-std::max(0.0, age / half));
}

}  // namespace

void TargetPool::Apply(const TargetEntry& entry, TimePoint now) {
  PoolTarget& target = this->targets[entry.id];
  if (!target.entry.IsSameStart(entry)) {
    const int in_flight = target.entry.id == entry.id ? target.in_flight : 0;
    target = PoolTarget();
    target.in_flight = in_flight;
    target.decayed_at = now;
  }
  target.entry = entry;
  target.removal_at.reset();
  const auto said = this->leaving.find({entry.id, entry.started_at});
  target.says_leaving = said != this->leaving.end();
  if (target.says_leaving) said->second = now + kLeavingMemory;
}

void TargetPool::Remove(const std::string& id, TimePoint now, Duration grace) {
  const auto found = this->targets.find(id);
  if (found == this->targets.end()) return;
  if (!found->second.removal_at) found->second.removal_at = now + grace;
  if (grace == Duration::zero()) this->targets.erase(found);
}

void TargetPool::Replace(const std::vector<TargetEntry>& entries, TimePoint now, Duration grace) {
  std::set<std::string> listed;
  for (const TargetEntry& entry : entries) {
    listed.insert(entry.id);
    this->Apply(entry, now);
  }
  std::vector<std::string> missing;
  for (const auto& [id, target] : this->targets) {
    if (listed.count(id) == 0) missing.push_back(id);
  }
  for (const std::string& id : missing) this->Remove(id, now, grace);
}

void TargetPool::Expire(TimePoint now) {
  for (auto it = this->targets.begin(); it != this->targets.end();) {
    const bool expired = it->second.removal_at && *it->second.removal_at <= now;
    it = expired ? this->targets.erase(it) : std::next(it);
  }
  for (auto it = this->leaving.begin(); it != this->leaving.end();) {
    it = it->second <= now ? this->leaving.erase(it) : std::next(it);
  }
}

bool TargetPool::OnLeaving(const TargetEntry& target, TimePoint now) {
  if (!this->leaving.emplace(Start{target.id, target.started_at}, now + kLeavingMemory).second) {
    return false;
  }
  const auto found = this->targets.find(target.id);
  if (found != this->targets.end() && found->second.entry.IsSameStart(target)) {
    found->second.says_leaving = true;
  }
  return true;
}

void TargetPool::OnRequestStarted(const std::string& id) {
  const auto found = this->targets.find(id);
  if (found != this->targets.end()) ++found->second.in_flight;
}

void TargetPool::OnRequestFinished(const std::string& id, TargetOutcome outcome, Duration latency,
                                   TimePoint now) {
  const auto found = this->targets.find(id);
  if (found == this->targets.end()) return;
  PoolTarget& target = found->second;
  target.in_flight = std::max(0, target.in_flight - 1);
  const double decay = DecayFactor(target.decayed_at, now);
  target.served *= decay;
  target.failed *= decay;
  target.decayed_at = now;
  switch (outcome) {
    case TargetOutcome::kServed:
      target.served += 1;
      target.consecutive_no_responses = 0;
      target.mean_latency =
          target.mean_latency == Duration::zero()
              ? latency
              : std::chrono::duration_cast<Duration>(target.mean_latency * (1 - kLatencyGain) +
                                                     latency * kLatencyGain);
      target.latency_at = now;
      break;
    case TargetOutcome::kFailed:
      target.failed += 1;
      break;
    case TargetOutcome::kNoResponse:
      target.failed += 1;
      ++target.consecutive_no_responses;
      target.last_no_response_at = now;
      break;
    case TargetOutcome::kRefused:
    case TargetOutcome::kAbandoned:
      break;
  }
}

void TargetPool::OnLoadReport(const std::string& id, const LoadReport& report, TimePoint now) {
  const auto found = this->targets.find(id);
  if (found == this->targets.end()) return;
  found->second.report = report;
  found->second.reported_at = now;
}

const PoolTarget* TargetPool::Find(const std::string& id) const {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second;
}

std::vector<const PoolTarget*> TargetPool::AcceptingTargets(const std::string& service,
                                                            TimePoint now) const {
  std::vector<const PoolTarget*> list;
  for (const auto& [id, target] : this->targets) {
    const bool removed = target.removal_at && *target.removal_at <= now;
    if (target.entry.service == service && !target.Leaving() && !removed) {
      list.push_back(&target);
    }
  }
  return list;
}

bool IsPaused(const PoolTarget& target, TimePoint now) {
  constexpr Duration kFirstPause = milliseconds(100);
  constexpr int kMaxDoublings = 3;
  if (target.consecutive_no_responses == 0) return false;
  const int doublings = std::min(target.consecutive_no_responses - 1, kMaxDoublings);
  return now < target.last_no_response_at + kFirstPause * (1 << doublings);
}

double FailureProbability(const PoolTarget& target, TimePoint now) {
  constexpr double kPriorRequests = 2;
  constexpr double kPriorShare = 0.02;
  const double decay = DecayFactor(target.decayed_at, now);
  const double failed = target.failed * decay;
  const double total = failed + target.served * decay;
  return (failed + kPriorRequests * kPriorShare) / (total + kPriorRequests);
}

}  // namespace anvilcroft
