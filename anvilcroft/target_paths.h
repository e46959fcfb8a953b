#ifndef ANVILCROFT_TARGET_PATHS_H_
#define ANVILCROFT_TARGET_PATHS_H_

// Knows whether this instance can reach its targets.
//
//   TargetPaths paths(runtime, pool, metrics, seed);
//   paths.Start();
//   ... for each call to a target: paths.OnOutcome(target, outcome, now);
//   if (paths.CutOff()) ...
//
// The outcomes of calls are the evidence. When a target cannot be reached, others are probed with
// new connections until one accepts, so that an instance with few requests knows as soon as one
// with many, and a cut-off instance notices that its paths are back.

#include <cstdint>
#include <random>
#include <string>

#include "anvilcroft/event.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/path_monitor.h"
#include "anvilcroft/target_pool.h"
#include "platform/engine_client.h"

namespace anvilcroft {

class TargetPaths {
 public:
  // Time within which a target accepts a connection; it is at most a few tens of milliseconds away.
  static constexpr Duration kProbeTimeout = milliseconds(150);
  // Interval of probes while this instance is suspicious, and while it is cut off.
  static constexpr Duration kSuspiciousInterval = milliseconds(50);
  static constexpr Duration kCutOffInterval = milliseconds(300);

  TargetPaths(Runtime& runtime, const TargetPool& pool, Metrics& metrics, uint64_t seed)
      : runtime(runtime), pool(pool), metrics(metrics), generator(seed) {}

  void Start();

  void OnOutcome(const TargetEntry& target, platform::PathOutcome outcome, TimePoint now);
  bool CutOff() const { return this->cut_off; }

 private:
  // Probes targets while this instance is suspicious.
  void Probe(Task& task);
  // Chooses a target that has not been found unreachable if there is one; null if there is none.
  const TargetEntry* ChooseProbe();
  void UpdateCutOff(TimePoint now);

  Runtime& runtime;
  const TargetPool& pool;
  Metrics& metrics;
  std::mt19937_64 generator;
  PathMonitor monitor;
  bool cut_off = false;
  TimePoint cut_off_at;
  Event suspicious;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_PATHS_H_
