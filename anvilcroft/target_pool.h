#ifndef ANVILCROFT_TARGET_POOL_H_
#define ANVILCROFT_TARGET_POOL_H_

// The targets as this instance sees them: their entries in the platform's list, and their load and
// health as measured by this instance's own requests.
//
// Health is the share of failures among recent requests of this instance. The health endpoint of a
// target is not consulted, because its answer may be wrong.

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/load_report.h"
#include "anvilcroft/target_entry.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

// The outcome of a request, classified by its effect on the target's health.
enum class TargetOutcome {
  kServed,
  kRefused,     // the target reported that it did not run the request
  kFailed,      // the target reported a failure or sent an invalid response
  kNoResponse,  // the target did not answer or could not be reached
  kAbandoned,   // cancelled by this instance; does not affect the target's health
};

struct PoolTarget {
  TargetEntry entry;
  int in_flight = 0;                 // requests of this instance
  std::optional<LoadReport> report;  // the latest one
  TimePoint reported_at;
  // Counts of this instance's finished requests, with exponential decay (half-life
  // TargetPool::kHealthHalfLife).
  double served = 0;
  double failed = 0;
  TimePoint decayed_at;  // time up to which the decay has been applied
  int consecutive_no_responses = 0;
  TimePoint last_no_response_at;
  Duration mean_latency = Duration::zero();  // moving average of served requests; zero: none yet
  TimePoint latency_at;                      // time of the last update of mean_latency
  // When the target is removed; set while its entry is missing from the platform's list.
  std::optional<TimePoint> removal_at;
  bool says_leaving = false;  // an answer of this start has said that the target leaves

  // Whether the target accepts no new requests, by its entry or its answers.
  bool Leaving() const { return this->entry.draining || this->says_leaving; }
};

class TargetPool {
 public:
  // Faults of targets last seconds, so recorded failures decay at the same rate.
  static constexpr Duration kHealthHalfLife = seconds(3);

  // A target that has said that it leaves is remembered for this long after its entry has gone,
  // because an entry may come back.
  static constexpr Duration kLeavingMemory = std::chrono::minutes(10);

  // Adds or updates a target. After a restart of the target, only its count of requests in flight
  // is kept.
  void Apply(const TargetEntry& entry, TimePoint now);

  // Schedules a target that is missing from the list for removal after `grace`. Apply() cancels
  // the removal. A `grace` of zero removes the target at once.
  void Remove(const std::string& id, TimePoint now, Duration grace);

  // Applies a complete list. Targets that are not in it are removed as by Remove().
  void Replace(const std::vector<TargetEntry>& entries, TimePoint now, Duration grace);

  // Removes targets whose grace period has ended.
  void Expire(TimePoint now);

  // Record the start and the end of a request of this instance, and a load report. Ids that are
  // not in the pool are ignored.
  void OnRequestStarted(const std::string& id);
  void OnRequestFinished(const std::string& id, TargetOutcome outcome, Duration latency,
                         TimePoint now);
  void OnLoadReport(const std::string& id, const LoadReport& report, TimePoint now);

  // Records that `target` has said in an answer that it leaves. Its entry may say so later or not
  // at all. Returns whether that is new.
  bool OnLeaving(const TargetEntry& target, TimePoint now);

  // Returns null if `id` is not in the pool.
  const PoolTarget* Find(const std::string& id) const;

  // The targets of `service` that accept new requests at `now`: none is leaving, and the grace
  // period of none has ended.
  std::vector<const PoolTarget*> AcceptingTargets(const std::string& service, TimePoint now) const;

  const std::map<std::string, PoolTarget>& All() const { return this->targets; }

 private:
  using Start = std::pair<std::string, WallMillis>;  // id and start of a target

  std::map<std::string, PoolTarget> targets;
  // The starts that have said that they leave, with the time until which they are remembered.
  std::map<Start, TimePoint> leaving;
};

// Whether `target` is left alone at `now` because its last requests got no response: for a time
// that doubles with each of them. Afterwards, requests should try it one at a time until one
// succeeds.
//
// Load pattern: an engine has crashed and refuses connections at once, so it is the only one with
// free slots, and every waiting item would be sent to it again and again.
bool IsPaused(const PoolTarget& target, TimePoint now);

// Estimated probability that the next request to `target` fails: recent failures over recent
// requests, with a prior of one failure in fifty, so that a single request does not decide the
// estimate for a target without history.
double FailureProbability(const PoolTarget& target, TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_POOL_H_
