#ifndef ANVILCROFT_TARGET_STATE_H_
#define ANVILCROFT_TARGET_STATE_H_

// The state of one target as observed by this instance: its life cycle, the work in flight from
// this instance, the measured latencies and the load reported by the target.
//
//   if (state->Eligible(now)) {
//     const auto slot = state->BeginWork();   // counted as in flight until `slot` is destroyed
//     ...
//     state->ObserveLatency(seconds_per_unit, now);
//   }
//
// Life cycle: a target starts as unknown and becomes ready, swapping (loading weights), leaving or
// lost (a new connection failed), depending on its responses, the instance list and operators'
// drains. Only ready targets get new work. A lost target must answer a probe before it is ready
// again.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/engine_report.h"
#include "anvilcroft/target.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

namespace detail {
class TargetMachine;
}  // namespace detail

enum class TargetPhase { kUnknown, kReady, kSwapping, kLeaving, kLost };

// Returns the name of `phase` in the target list for operators, such as "ready".
const char* TargetPhaseName(TargetPhase phase);

class TargetState {
 public:
  // Called after each change of phase.
  using PhaseHook = std::function<void(const TargetState&, TargetPhase from, TargetPhase to)>;

  // Interval of probes of a target that reported that it is leaving. It is probed because another
  // process may replace it under the same id.
  static constexpr Duration kLeavingProbeInterval = seconds(10);
  // Half-life of reported load. Load is discounted by age because reports lag behind.
  static constexpr Duration kLoadHalfLife = seconds(2);
  // Half-life of the slowness estimate. It decays so that a target that gets no work because it was
  // slow is tried again.
  static constexpr Duration kSlownessHalfLife = seconds(3);

  explicit TargetState(Target target, PhaseHook hook = {});
  ~TargetState();
  TargetState(const TargetState&) = delete;
  TargetState& operator=(const TargetState&) = delete;

  const Target& Description() const { return this->target; }
  TargetPhase Phase() const;

  // Returns whether new work may be sent to this target.
  bool Eligible(TimePoint now) const;

  // Applies a newer entry of the instance list. `drained` is whether an operator drains the target.
  void Update(const Target& newer, bool drained);

  // Records that the target responded to a probe and accepts work.
  void OnAnswer();
  // Applies a state report of the engine.
  void OnReport(const EngineReport& report, TimePoint now);
  // Records the load that the target reported, in requests.
  void OnLoad(int64_t running, int64_t waiting, TimePoint now);
  // Records that the target refused work because it is loading weights.
  void OnSwapping(TimePoint now);
  // Records that the target refused work because it is leaving.
  void OnLeaving(TimePoint now);
  // Records that a new connection to the target failed.
  void OnLost(TimePoint now);
  // Time of the first of the consecutive failed connections. Meaningful only in phase kLost.
  TimePoint LostAt() const { return this->lost_at; }
  // Whether the latest connections to the target failed and it has not answered since.
  bool Unreachable() const { return this->failed_probes > 0; }
  // Makes the target ineligible for new work until `until`, for a target that was silent or failed
  // but can still be reached.
  void AvoidUntil(TimePoint until);

  // Returns whether a probe is due at `now`. No further probe is due between BeginProbe and
  // EndProbe.
  bool ProbeDue(TimePoint now) const;
  void BeginProbe(TimePoint now);
  void EndProbe(TimePoint now);

  // Counts one work item as in flight until the returned handle is destroyed.
  std::shared_ptr<void> BeginWork() { return CountWhileHeld(this->in_flight); }
  int64_t InFlight() const { return *this->in_flight; }

  // Counts one suspect, a request that was running on a target when it crashed, until the returned
  // handle is destroyed: when the request has shown progress on this target or its call has ended.
  std::shared_ptr<void> AddSuspect() { return CountWhileHeld(this->suspects); }
  int64_t Suspects() const { return *this->suspects; }

  // Records the seconds that one unit of work took: a token, or a whole call of an app engine or
  // judge.
  void ObserveLatency(double seconds_per_unit, TimePoint now);
  // Long-term mean of seconds per unit of work; 0 without observations.
  double MeanLatency() const { return this->mean_latency; }
  // Ratio of the recent latency to `typical`, at least 1. Decays to 1 as the observations age.
  double Slowness(double typical, TimePoint now) const;
  // Reported load in requests, discounted by its age. A waiting request counts twice.
  double DiscountedLoad(TimePoint now) const;

  // Weight version in the latest report; 0 if unknown.
  int64_t WeightVersion() const { return this->weight_version; }
  // Identity of the engine process in the latest report; empty if unknown.
  const std::string& InstanceStart() const { return this->instance_start; }
  int64_t ReportedRunning() const { return this->running; }
  int64_t ReportedWaiting() const { return this->waiting; }

 private:
  enum class Signal { kAnswered, kSwapping, kLeaving, kLeavingCleared, kRefused };

  static std::shared_ptr<void> CountWhileHeld(const std::shared_ptr<int64_t>& count);
  void Process(Signal signal);
  bool IsLeaving() const;
  void UpdateLeavingPhase();

  Target target;
  PhaseHook hook;
  std::unique_ptr<detail::TargetMachine> machine;

  bool drained = false;
  bool reported_leaving = false;
  TimePoint leaving_since;
  std::string leaving_start;

  TimePoint avoided_until;
  TimePoint next_probe;
  int failed_probes = 0;
  TimePoint lost_at;
  bool probing = false;

  std::shared_ptr<int64_t> in_flight = std::make_shared<int64_t>(0);
  std::shared_ptr<int64_t> suspects = std::make_shared<int64_t>(0);
  double mean_latency = 0;
  double recent_latency = 0;
  TimePoint latency_time;
  int64_t running = 0;
  int64_t waiting = 0;
  TimePoint load_time;
  int64_t weight_version = 0;
  std::string instance_start;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_STATE_H_
