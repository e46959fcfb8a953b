#include "anvilcroft/target_state.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cmath>
#include <utility>

namespace anvilcroft {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr double kMeanWeight = 0.05;      // of one observation in the long-term mean
constexpr double kRecentWeight = 0.3;     // of one observation in the recent mean
constexpr int kProbesBeforeBackoff = 10;  // failed probes before the interval grows
constexpr Duration kShortProbeInterval = seconds(1);
constexpr Duration kLongProbeInterval = seconds(10);

// Events of the life cycle.
struct Answered {};
struct SwapSeen {};
struct LeavingSeen {};
struct LeavingCleared {};
struct Refused {};

// A state that stores its phase in the machine on entry.
template <TargetPhase kPhase>
struct PhaseState : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event&, Machine& machine) {
    machine.phase = kPhase;
  }
};

struct LifeCycleDef : msm::front::state_machine_def<LifeCycleDef> {
  using Unknown = PhaseState<TargetPhase::kUnknown>;
  using Ready = PhaseState<TargetPhase::kReady>;
  using Swapping = PhaseState<TargetPhase::kSwapping>;
  using Leaving = PhaseState<TargetPhase::kLeaving>;
  using Lost = PhaseState<TargetPhase::kLost>;
  using initial_state = Unknown;  // NOLINT(readability-identifier-naming)

  // clang-format off
  struct transition_table : boost::mpl::vector<  // NOLINT(readability-identifier-naming)
      Row<Unknown,  Answered,       Ready,    none, none>,
      Row<Unknown,  SwapSeen,       Swapping, none, none>,
      Row<Unknown,  LeavingSeen,    Leaving,  none, none>,
      Row<Unknown,  Refused,        Lost,     none, none>,
      Row<Ready,    SwapSeen,       Swapping, none, none>,
      Row<Ready,    LeavingSeen,    Leaving,  none, none>,
      Row<Ready,    Refused,        Lost,     none, none>,
      Row<Swapping, Answered,       Ready,    none, none>,
      Row<Swapping, LeavingSeen,    Leaving,  none, none>,
      Row<Swapping, Refused,        Lost,     none, none>,
      Row<Lost,     Answered,       Ready,    none, none>,
      Row<Lost,     SwapSeen,       Swapping, none, none>,
      Row<Lost,     LeavingSeen,    Leaving,  none, none>,
      Row<Leaving,  LeavingCleared, Unknown,  none, none>> {};
  // clang-format on

  // Events without a row are ignored: a leaving target stays leaving whatever else is observed.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  TargetPhase phase = TargetPhase::kUnknown;
};

}  // namespace

namespace detail {

class TargetMachine {
 public:
  TargetMachine() { this->machine.start(); }

  template <typename Event>
  void Process(const Event& event) {
    this->machine.process_event(event);
  }

  TargetPhase Phase() const { return this->machine.phase; }

 private:
  msm::back::state_machine<LifeCycleDef> machine;
};

}  // namespace detail

const char* TargetPhaseName(TargetPhase phase) {
  switch (phase) {
    case TargetPhase::kUnknown:
      return "unknown";
    case TargetPhase::kReady:
      return "ready";
    case TargetPhase::kSwapping:
      return "swapping";
    case TargetPhase::kLeaving:
      return "leaving";
    case TargetPhase::kLost:
      return "lost";
  }
  return "unknown";
}

TargetState::TargetState(Target target, PhaseHook hook)
    : target(std::move(target)),
      hook(std::move(hook)),
      machine(std::make_unique<detail::TargetMachine>()) {
  this->UpdateLeavingPhase();
}

TargetState::~TargetState() = default;

TargetPhase TargetState::Phase() const { return this->machine->Phase(); }

bool TargetState::Eligible(TimePoint now) const {
  return this->Phase() == TargetPhase::kReady && now >= this->avoided_until;
}

void TargetState::Process(Signal signal) {
  const TargetPhase before = this->Phase();
  switch (signal) {
    case Signal::kAnswered:
      this->machine->Process(Answered());
      break;
    case Signal::kSwapping:
      this->machine->Process(SwapSeen());
      break;
    case Signal::kLeaving:
      this->machine->Process(LeavingSeen());
      break;
    case Signal::kLeavingCleared:
      this->machine->Process(LeavingCleared());
      break;
    case Signal::kRefused:
      this->machine->Process(Refused());
      break;
  }
  if (this->hook && this->Phase() != before) this->hook(*this, before, this->Phase());
}

bool TargetState::IsLeaving() const {
  return this->reported_leaving || this->drained ||
         this->target.ListState() != Target::Listed::kLive;
}

void TargetState::UpdateLeavingPhase() {
  if (this->IsLeaving()) {
    this->Process(Signal::kLeaving);
  } else if (this->Phase() == TargetPhase::kLeaving) {
    this->Process(Signal::kLeavingCleared);
    this->next_probe = TimePoint();
  }
}

void TargetState::Update(const Target& newer, bool now_drained) {
  this->target = newer;
  this->drained = now_drained;
  this->UpdateLeavingPhase();
}

void TargetState::OnAnswer() {
  this->failed_probes = 0;
  this->Process(Signal::kAnswered);
}

void TargetState::OnReport(const EngineReport& report, TimePoint now) {
  if (report.leaving) {
    this->OnLeaving(now);
  } else if (this->reported_leaving && (report.instance_start != this->leaving_start ||
                                        now - this->leaving_since >= kLeavingProbeInterval)) {
    // The engine restarted, or it no longer leaves. A report that arrives shortly after the refusal
    // may have been produced before it, so it does not clear the state.
    this->reported_leaving = false;
    this->UpdateLeavingPhase();
  }
  this->weight_version = report.weight_version;
  this->instance_start = report.instance_start;
  this->OnLoad(report.running, report.waiting, now);
  if (report.swapping) {
    this->failed_probes = 0;
    this->Process(Signal::kSwapping);
  } else {
    this->OnAnswer();
  }
}

void TargetState::OnLoad(int64_t now_running, int64_t now_waiting, TimePoint now) {
  this->running = now_running;
  this->waiting = now_waiting;
  this->load_time = now;
}

void TargetState::OnSwapping(TimePoint now) {
  this->next_probe = now + kShortProbeInterval;
  this->Process(Signal::kSwapping);
}

void TargetState::OnLeaving(TimePoint now) {
  if (!this->reported_leaving) this->leaving_start = this->instance_start;
  this->reported_leaving = true;
  this->leaving_since = now;
  this->next_probe = now + kLeavingProbeInterval;
  this->UpdateLeavingPhase();
}

void TargetState::OnLost(TimePoint now) {
  if (this->failed_probes == 0) this->lost_at = now;
  ++this->failed_probes;
  // The process that was leaving has ended; whatever responds here later is another process.
  this->reported_leaving = false;
  this->UpdateLeavingPhase();
  this->next_probe =
      now + (this->failed_probes > kProbesBeforeBackoff ? kLongProbeInterval : kShortProbeInterval);
  this->Process(Signal::kRefused);
}

void TargetState::AvoidUntil(TimePoint until) {
  this->avoided_until = std::max(this->avoided_until, until);
}

bool TargetState::ProbeDue(TimePoint now) const {
  if (this->probing || now < this->next_probe) return false;
  switch (this->Phase()) {
    case TargetPhase::kReady:
      return false;
    case TargetPhase::kLeaving:
      return this->reported_leaving;
    default:
      return true;
  }
}

void TargetState::BeginProbe(TimePoint now) {
  this->probing = true;
  this->next_probe = now + kShortProbeInterval;
}

void TargetState::EndProbe(TimePoint now) {
  this->probing = false;
  const bool backed_off =
      this->Phase() == TargetPhase::kLeaving || this->failed_probes > kProbesBeforeBackoff;
  this->next_probe = now + (backed_off ? kLongProbeInterval : kShortProbeInterval);
}

std::shared_ptr<void> TargetState::CountWhileHeld(const std::shared_ptr<int64_t>& count) {
  ++*count;
  return std::shared_ptr<void>(nullptr, [count](void*) { --*count; });
}

void TargetState::ObserveLatency(double seconds_per_unit, TimePoint now) {
  if (this->mean_latency == 0) {
    this->mean_latency = seconds_per_unit;
    this->recent_latency = seconds_per_unit;
  }
  this->mean_latency += kMeanWeight * (seconds_per_unit - this->mean_latency);
  this->recent_latency += kRecentWeight * (seconds_per_unit - this->recent_latency);
  this->latency_time = now;
}

namespace {

double HalfLifeDecay(Duration age, Duration half_life) {
  return std::exp2(-std::chrono::duration<double>(std::max(age, Duration::zero())).count() /
                   std::chrono::duration<double>(half_life).count());
}

}  // namespace

double TargetState::Slowness(double typical, TimePoint now) const {
  if (typical <= 0 || this->recent_latency <= typical) return 1;
  const double excess = this->recent_latency / typical - 1;
  return 1 + excess * HalfLifeDecay(now - this->latency_time, kSlownessHalfLife);
}

double TargetState::DiscountedLoad(TimePoint now) const {
  if (this->running == 0 && this->waiting == 0) return 0;
  return static_cast<double>(this->running + 2 * this->waiting) *
         HalfLifeDecay(now - this->load_time, kLoadHalfLife);
}

}  // namespace anvilcroft
