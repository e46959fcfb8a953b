#ifndef ANVILCROFT_TARGET_POOL_H_
#define ANVILCROFT_TARGET_POOL_H_

// What this instance believes of the targets: their entries in the platform's list, and load and
// health from its own requests.
//
// Health is judged from own requests only, as the share of failures among recent ones; a target's
// own health answer may be false.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/load_report.h"
#include "anvilcroft/target_entry.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

// How a request to a target ended, as far as the target's health is concerned.
enum class TargetOutcome {
  kServed,
  kRefused,     // the target said that it did not run the request
  kFailed,      // it answered with a failure of its own, or not with a valid answer
  kNoResponse,  // it did not answer or could not be reached
  kAbandoned,   // this instance ended the request; says nothing of the target
};

struct PoolTarget {
  TargetEntry entry;
  int in_flight = 0;  // own requests
  std::optional<LoadReport> report;
  TimePoint reported_at;
  // Own requests that ended lately; halved every TargetPool::kHealthHalfLife.
  double served = 0;
  double failed = 0;
  TimePoint decayed_at;
  int consecutive_no_responses = 0;
  TimePoint last_no_response_at;
  Duration mean_latency = Duration::zero();  // of served requests; zero: none yet
  TimePoint latency_at;
  // Set while the entry is missing from the list but may come back.
  std::optional<TimePoint> removal_at;
};

class TargetPool {
 public:
  // Troubles of targets last seconds; their traces fade as fast.
  static constexpr Duration kHealthHalfLife = seconds(3);

  // Takes an entry of the list. A new start of a target has no history.
  void Apply(const TargetEntry& entry, TimePoint now);

  // Notes that an entry is missing from the list. The target goes after `grace`, unless it is
  // listed again.
  void Remove(const std::string& id, TimePoint now, Duration grace);

  // Takes the whole list: entries that are missing are removed as by Remove.
  void Replace(const std::vector<TargetEntry>& entries, TimePoint now, Duration grace);

  // Drops targets whose grace has ended.
  void Expire(TimePoint now);

  void OnRequestStarted(const std::string& id);
  void OnRequestFinished(const std::string& id, TargetOutcome outcome, Duration latency,
                         TimePoint now);
  void OnLoadReport(const std::string& id, const LoadReport& report, TimePoint now);

  // Null if unknown.
  const PoolTarget* Find(const std::string& id) const;

  // Targets of `service` that take new work.
  std::vector<const PoolTarget*> AcceptingTargets(const std::string& service) const;

  const std::map<std::string, PoolTarget>& All() const { return this->targets; }

 private:
  std::map<std::string, PoolTarget> targets;
};

// Expected share of failures of a target's next request: recent failures over recent requests,
// with a prior of one failure in fifty, so that a target without history is not judged by its
// first request.
double FailureProbability(const PoolTarget& target, TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_POOL_H_
