#include "anvilcroft/scaling/scaling_demand.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "anvilcroft/engine_pace.h"

namespace anvilcroft {
namespace {

// Share of the time in which the slots may be in use. The rest is for slow phases of engines, loads
// of weights, live requests and items that run again. A lost step of three trainers that submit
// every 4 s is worth as much as 30 engines for a minute, so it is generous.
constexpr double kMaxUtilization = 0.5;
// Part of the time until a step is due in which its longest item should be generated. The rest is
// for scoring, listing and slow phases.
constexpr double kDueShare = 0.8;
// Steps of one trainer that are closer to each other count as submitted at once. Less than
// kStepInterval, because the intervals vary by some hundred ms.
constexpr Duration kSameInterval = milliseconds(3500);
// Load of the engines while only long items are left.
constexpr double kTailLoad = 0.5;
// Engines in relation to those for the throughput beyond which the longest items hardly get faster.
constexpr double kMaxForLongest = 1.5;

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

bool DemandWindow::Contains(const std::string& job) const {
  return std::any_of(this->steps.begin(), this->steps.end(),
                     [&](const StepDemand& step) { return step.job == job; });
}

void DemandWindow::Record(const StepDemand& step) {
  if (!this->Contains(step.job)) this->steps.push_back(step);
}

void DemandWindow::Expire(TimePoint now) {
  const auto expired = [now](const StepDemand& step) {
    return now - step.submitted_at > kDemandWindow;
  };
  this->steps.erase(std::remove_if(this->steps.begin(), this->steps.end(), expired),
                    this->steps.end());
}

IntervalDemand SummarizeDemand(const std::deque<StepDemand>& steps) {
  std::map<std::string, double> largest;  // by model
  IntervalDemand demand;
  for (const StepDemand& step : steps) {
    double events = 0;
    for (const StepDemand& other : steps) {
      const Duration before = step.submitted_at - other.submitted_at;
      if (other.model == step.model && before >= Duration::zero() && before < kSameInterval) {
        events += other.events;
      }
    }
    largest[step.model] = std::max(largest[step.model], events);
    demand.longest_events = std::max(demand.longest_events, step.longest_events);
    if (demand.due == Duration::zero() || step.due < demand.due) demand.due = step.due;
  }
  for (const auto& [model, events] : largest) demand.events += events;
  return demand;
}

int RequiredEngines(const IntervalDemand& demand, double event_ms, int slots) {
  if (demand.events <= 0 || event_ms <= 0 || slots <= 0) return 0;
  const double full_ms = event_ms * LoadFactor(1);
  const double tail_ms = event_ms * LoadFactor(kTailLoad);
  const double slot_ms = demand.events * full_ms;  // work in slot time
  const double by_throughput = slot_ms / (slots * kMaxUtilization * Millis(kStepInterval));
  // The longest item proceeds at full_ms for an event as long as all slots are in use, which is for
  // slot_ms / (engines * slots), and at tail_ms afterwards.
  const double spare_ms = kDueShare * Millis(demand.due) - demand.longest_events * tail_ms;
  const double full_load_ms = spare_ms / (1 - tail_ms / full_ms);
  const double by_longest = spare_ms > 0 ? slot_ms / (full_load_ms * slots) : HUGE_VAL;
  return static_cast<int>(
      std::ceil(std::clamp(by_longest, by_throughput, kMaxForLongest * by_throughput)));
}

}  // namespace anvilcroft
