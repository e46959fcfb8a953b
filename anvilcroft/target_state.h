#ifndef ANVILCROFT_TARGET_STATE_H_
#define ANVILCROFT_TARGET_STATE_H_

// What this instance knows of one target: its life cycle, the work in flight from here, its own
// latencies and the load that the target reported.
//
//   if (state->Eligible(now)) {
//     const auto slot = state->BeginWork();   // in flight while `slot` lives
//     ...
//     state->ObserveLatency(seconds_per_unit, now);
//   }
//
// Life cycle: unknown -> ready, swapping, leaving or lost, as the target answers or refuses. New
// work goes to ready targets only. A target that was lost answers a probe before it is ready again.

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

// Name of `phase` in lists for operators, as "ready".
const char* TargetPhaseName(TargetPhase phase);

class TargetState {
 public:
  // Called after each change of the phase.
  using PhaseHook = std::function<void(const TargetState&, TargetPhase from, TargetPhase to)>;

  // A target that said it is leaving is probed at this interval, because it may be replaced under
  // its id.
  static constexpr Duration kLeavingRecheck = seconds(10);
  // Reported load loses half its weight in this time, because reports lag behind.
  static constexpr Duration kLoadHalfLife = seconds(2);
  // An estimate of slowness loses half its weight in this time, so that a target that gets no
  // work because it was slow is tried again.
  static constexpr Duration kSlownessHalfLife = seconds(3);

  explicit TargetState(Target target, PhaseHook hook = {});
  ~TargetState();
  TargetState(const TargetState&) = delete;
  TargetState& operator=(const TargetState&) = delete;

  const Target& Description() const { return this->target; }
  TargetPhase Phase() const;

  // Whether new work may go to this target.
  bool Eligible(TimePoint now) const;

  // Takes over a newer entry of the instance list, and whether operators drain the target.
  void Update(const Target& newer, bool drained);

  // A probe or a response showed that the target is up and takes work.
  void OnAnswer();
  void OnReport(const EngineReport& report, TimePoint now);
  // The load in a response of the target.
  void OnLoad(int64_t running, int64_t waiting, TimePoint now);
  // The target refused work because it loads weights.
  void OnSwapping(TimePoint now);
  // The target refused work because it is leaving.
  void OnLeaving(TimePoint now);
  // A new connection failed.
  void OnLost(TimePoint now);
  // When the first of the refusals in a row came; means something only while the target is lost.
  TimePoint LostAt() const { return this->lost_at; }
  // The target was silent but could still be reached: no new work until `until`.
  void Suspect(TimePoint until);

  // Whether a probe is due at `now`, and the note that one was started.
  bool ProbeDue(TimePoint now) const;
  void BeginProbe(TimePoint now);
  void EndProbe(TimePoint now);

  // Counts one piece of work as in flight while the returned handle lives.
  std::shared_ptr<void> BeginWork() { return CountWhileHeld(this->in_flight); }
  int64_t InFlight() const { return *this->in_flight; }

  // Counts one request on which a target died before, until it has shown progress here.
  std::shared_ptr<void> BeginSuspect() { return CountWhileHeld(this->suspects); }
  int64_t Suspects() const { return *this->suspects; }

  // Records the seconds that one unit of work took (one token, or one call of an app engine).
  void ObserveLatency(double seconds_per_unit, TimePoint now);
  // Long-term mean of seconds per unit; 0 without observations.
  double MeanLatency() const { return this->mean_latency; }
  // How many times slower than `typical` this target was of late, at least 1; falls back to 1 as
  // the observations age.
  double Slowness(double typical, TimePoint now) const;
  // Reported load discounted by its age.
  double DiscountedLoad(TimePoint now) const;

  // Weight version of the newest report; 0 if unknown.
  int64_t WeightVersion() const { return this->weight_version; }
  // Identity of the run of the engine as last reported; empty if unknown.
  const std::string& InstanceStart() const { return this->instance_start; }
  int64_t ReportedRunning() const { return this->running; }
  int64_t ReportedWaiting() const { return this->waiting; }

 private:
  enum class Signal { kAnswered, kSwapping, kLeaving, kStayed, kRefused };

  static std::shared_ptr<void> CountWhileHeld(const std::shared_ptr<int64_t>& count);
  void Process(Signal signal);
  bool LeavingKnown() const;
  void ApplyLeaving();

  Target target;
  PhaseHook hook;
  std::unique_ptr<detail::TargetMachine> machine;

  bool drained = false;
  bool said_leaving = false;
  TimePoint leaving_since;
  std::string leaving_start;

  TimePoint suspected_until;
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
