#ifndef ANVILCROFT_TARGET_PATHS_H_
#define ANVILCROFT_TARGET_PATHS_H_

// Knows whether this instance can reach its targets, and chooses the instances through which it
// sends requests while it cannot.
//
//   TargetPaths paths(runtime, directory, pool, metrics, seed);
//   paths.Start();
//   ... for each attempt: paths.ChooseRelay(query, now) ...
//   ... for each direct call to a target: paths.OnOutcome(target, outcome, now);
//
// The outcomes of calls are the evidence. When a target cannot be reached, others are probed with
// new connections until one accepts, so that an instance with few requests knows as soon as one
// with many, and a cut-off instance notices that its paths are back. The other instances learn from
// the directory that an instance is cut off.
//
// A request that gets no answer on a direct path goes through another instance on its next attempt,
// also before this instance knows that it is cut off.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "anvilcroft/event.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/path_monitor.h"
#include "anvilcroft/relay_choice.h"
#include "anvilcroft/target_pool.h"
#include "platform/engine_client.h"

namespace anvilcroft {

class TargetPaths {
 public:
  // Time within which a target accepts a connection; it is at most a few tens of milliseconds away.
  static constexpr Duration kProbeTimeout = milliseconds(150);
  // Probes that run at the same time. A partition that makes connections hang is found in
  // kMinTargets / kProbers timeouts.
  static constexpr int kProbers = 2;
  // Interval of probes while this instance is suspicious, and while it is cut off.
  static constexpr Duration kSuspiciousInterval = milliseconds(50);
  static constexpr Duration kCutOffInterval = milliseconds(300);

  // A path is verified for this long after a target has answered.
  static constexpr Duration kVerifiedTime = milliseconds(500);
  // An instance that has failed to relay a request is used again after this time; partitions last
  // seconds.
  static constexpr Duration kFailedRelayPause = milliseconds(1000);

  TargetPaths(Runtime& runtime, FrontDirectory& directory, const TargetPool& pool, Metrics& metrics,
              uint64_t seed)
      : runtime(runtime), directory(directory), pool(pool), metrics(metrics), generator(seed) {}

  void Start();

  void OnOutcome(const TargetEntry& target, platform::PathOutcome outcome, TimePoint now);
  bool CutOff() const { return this->cut_off; }
  // Whether a target has answered within kVerifiedTime.
  bool Verified(TimePoint now) const { return now - this->monitor.ReachedAt() < kVerifiedTime; }

  // The instance through which a request is to be sent; nullopt: it is to be sent directly, or no
  // instance is left.
  std::optional<RelayPeer> ChooseRelay(const PathQuery& query, TimePoint now);
  void OnRelay(const RelayPeer& peer, bool relayed, TimePoint now);

 private:
  // Probes targets while this instance is suspicious.
  void Probe(Task& task);
  // Chooses a target that has not been found unreachable if there is one; null if there is none.
  const TargetEntry* ChooseProbe();
  void UpdateCutOff(TimePoint now);

  Runtime& runtime;
  FrontDirectory& directory;
  const TargetPool& pool;
  Metrics& metrics;
  std::mt19937_64 generator;
  PathMonitor monitor;
  bool cut_off = false;
  TimePoint cut_off_at;
  std::string last_relay;                          // the instance that relayed last; may be empty
  std::map<std::string, TimePoint> failed_relays;  // when each instance last failed
  Event suspicious;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_PATHS_H_
