#include "anvilcroft/scaling/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace anvilcroft {
namespace {

// All engines in relation to those that must remain after a loss. The additional ones are mostly
// reclaimable, so they cost little, and they make the steps faster.
constexpr double kTotalFactor = 1.5;
// Before the first step is known: share of the engines present that must be regular. The users'
// site starts with 45 engines, and its steps need 23.
constexpr double kSecureShareBeforeDemand = 0.5;
// Largest share of the engines of a kind that one zone gets, if there are several.
constexpr double kMaxZoneShare = 0.6;
// A reclaimable engine at a higher share of the price does not make up for its loss.
constexpr double kMaxReclaimablePrice = 0.9;
// Number of steps for which fewer engines must have been needed before the number is lowered.
constexpr int kLoweringSteps = 3;
// Engines that are removed at a time: this part of all, one at least.
constexpr int kLoweringParts = 20;
// Engines of a group are removed only while this share of them, at most, runs requests.
constexpr double kMaxBusyShare = 0.5;
// An ordered engine that has not appeared this long after its boot time is not counted on.
constexpr Duration kBootMargin = seconds(3);
// Engines without a price are distributed equally.
constexpr double kMinPrice = 1e-6;
// Engines are replaced by cheaper ones if these cost less by this factor.
constexpr double kShiftSaving = 1.1;

class Planner {
 public:
  Planner(const ScalingInputs& inputs, TimePoint now) : inputs(inputs), now(now) {
    this->ideal.assign(inputs.groups.size(), 0);
    this->plan.memory = inputs.memory;
    for (const EngineGroup& group : inputs.groups) {
      this->plan.counts.push_back(
          {group.zone, group.reclaimable, group.intended, CountReason::kKeep});
    }
  }

  ScalingPlan Run() {
    this->FindNeed();
    this->Distribute();
    this->RaiseToMinimum();
    this->RemoveSurplus();
    return std::move(this->plan);
  }

 private:
  const EngineGroup& Group(std::size_t i) const { return this->inputs.groups[i]; }
  bool Available(std::size_t i) const { return this->now >= this->Group(i).unavailable_until; }
  bool DemandKnown() const { return !this->inputs.steps.empty(); }
  bool ObservedWindow() const { return this->now - this->inputs.observed_since >= kDemandWindow; }

  // Engines of the group that serve or can be expected to serve within the boot time.
  int Usable(std::size_t i) const {
    const EngineGroup& group = this->Group(i);
    const bool booting = this->now < group.raised_at + this->inputs.scaling.boot_time + kBootMargin;
    return booting ? std::max(group.present, group.intended) : group.present;
  }

  int UsableOfKind(bool reclaimable) const {
    int sum = 0;
    for (std::size_t i = 0; i < this->ideal.size(); ++i) {
      if (this->Group(i).reclaimable == reclaimable) sum += this->Usable(i);
    }
    return sum;
  }

  double Price(std::size_t i) const {
    const EngineScaling& scaling = this->inputs.scaling;
    const double price = scaling.ZonePrice(this->Group(i).zone) *
                         (this->Group(i).reclaimable ? scaling.reclaimable_price.value_or(1) : 1);
    return std::max(price, kMinPrice);
  }

  // The number that the group may be raised to with regard to the zone's maximum.
  int Room(std::size_t i) const {
    int room = this->inputs.scaling.max;
    for (std::size_t other = 0; other < this->ideal.size(); ++other) {
      if (other != i && this->Group(other).zone == this->Group(i).zone) {
        room -= std::max(this->plan.counts[other].count, this->Usable(other));
      }
    }
    return std::max(room, 0);
  }

  // Largest number of engines of the kind that can be had.
  int Possible(bool reclaimable) const {
    int sum = 0;
    for (std::size_t i = 0; i < this->ideal.size(); ++i) {
      if (this->Group(i).reclaimable != reclaimable) continue;
      const int usable = this->Usable(i);
      sum += this->Available(i) ? std::max(usable, this->Room(i)) : usable;
    }
    return sum;
  }

  int AvailableZones(bool reclaimable) const {
    int zones = 0;
    for (std::size_t i = 0; i < this->ideal.size(); ++i) {
      zones += this->Group(i).reclaimable == reclaimable && this->Available(i) ? 1 : 0;
    }
    return zones;
  }

  void FindNeed() {
    int initial = 0;
    for (const EngineGroup& group : this->inputs.groups) initial += group.initial;
    std::optional<TimePoint>& demand_since = this->plan.memory.demand_since;
    if (!this->DemandKnown()) {
      demand_since.reset();
    } else if (!demand_since) {
      demand_since = this->now;
    }
    if (this->DemandKnown()) {
      IntervalDemand demand = SummarizeDemand(this->inputs.steps);
      demand.events = std::max(demand.events, this->inputs.outstanding_events);
      this->plan.secure = RequiredEngines(demand, this->inputs.event_ms, this->inputs.slots);
      this->plan.total = static_cast<int>(std::ceil(kTotalFactor * this->plan.secure));
    } else if (!this->ObservedWindow()) {
      this->plan.secure = static_cast<int>(std::ceil(kSecureShareBeforeDemand * initial));
      this->plan.total = initial;
    }
  }

  // Finds the number of each kind that is needed, raises the groups where engines are missing, and
  // sets `ideal`.
  void Distribute() {
    const int secure = this->plan.secure;
    const int total = this->plan.total;
    const bool offered = this->inputs.scaling.reclaimable_price.value_or(1) <= kMaxReclaimablePrice;
    int regular = offered ? secure : total;
    const int reachable = std::min(regular, this->Possible(false));
    // More regular engines than needed replace reclaimable ones until they are removed.
    const int existing = std::max(reachable, this->UsableOfKind(false));
    // Without enough regular engines, the steps must be on time after the loss of the reclaimable
    // engines of any one zone.
    const int remaining = std::max(0, secure - reachable);
    int reclaimable = 0;
    if (offered) {
      reclaimable = std::max(0, total - existing);
      const int found = std::min(reclaimable, this->Possible(true));
      if (existing + found < total) regular = total - found;
    }
    this->regular_needed = regular;
    this->RaiseKind(false, regular, 0);
    if (offered) this->RaiseKind(true, reclaimable, remaining);
    this->SetIdeal(false, regular);
    this->SetIdeal(true, offered ? std::max(reclaimable, total - regular) : 0);
  }

  // Raises the groups of a kind until it has `needed` engines, and `remaining` without those of any
  // one zone. Each engine goes where the zone's price times its number of engines is lowest.
  void RaiseKind(bool reclaimable, int needed, int remaining) {
    std::vector<int> counts;
    std::set<std::string> used;
    int sum = 0;
    for (std::size_t i = 0; i < this->ideal.size(); ++i) {
      counts.push_back(this->Usable(i));
      if (this->Group(i).reclaimable != reclaimable || counts[i] == 0) continue;
      used.insert(this->Group(i).zone);
      sum += counts[i];
    }
    // Engines in a single zone would all be lost with it.
    const bool several = this->AvailableZones(reclaimable) > 1;
    const bool spread = used.size() != 1 || needed < 2 || !several;
    int missing = std::max(needed - sum, spread ? 0 : needed - ZoneShare(needed));
    while (missing > 0 || (several && sum - this->Largest(counts, reclaimable) < remaining)) {
      std::optional<std::size_t> best;
      double best_price = 0;
      for (std::size_t i = 0; i < counts.size(); ++i) {
        const EngineGroup& group = this->Group(i);
        if (group.reclaimable != reclaimable || !this->Available(i)) continue;
        if (counts[i] >= this->Room(i)) continue;
        if (!spread && used.count(group.zone) != 0) continue;
        // Equal zones need the fewest engines to outlast the loss of one.
        const double price = (counts[i] + 1) * (remaining > 0 ? 1 : this->Price(i));
        if (best && price >= best_price) continue;
        best = i;
        best_price = price;
      }
      if (!best) break;
      ++counts[*best];
      ++sum;
      --missing;
      PlannedCount& planned = this->plan.counts[*best];
      if (counts[*best] <= planned.count) continue;
      planned.count = counts[*best];
      planned.reason = this->DemandKnown() ? CountReason::kDemand : CountReason::kBeforeDemand;
    }
  }

  int Largest(const std::vector<int>& counts, bool reclaimable) const {
    int largest = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      if (this->Group(i).reclaimable == reclaimable) largest = std::max(largest, counts[i]);
    }
    return largest;
  }

  static int ZoneShare(int count) { return static_cast<int>(std::ceil(kMaxZoneShare * count)); }

  // Distributes `count` engines of a kind over the zones without regard to those that are present.
  void SetIdeal(bool reclaimable, int count) {
    const int limit = this->AvailableZones(reclaimable) > 1 ? ZoneShare(count) : count;
    for (int left = count; left > 0; --left) {
      std::optional<std::size_t> best;
      for (std::size_t i = 0; i < this->ideal.size(); ++i) {
        if (this->Group(i).reclaimable != reclaimable || !this->Available(i)) continue;
        if (this->ideal[i] >= limit || this->IdealOfZone(i) >= this->inputs.scaling.max) continue;
        if (!best ||
            (this->ideal[i] + 1) * this->Price(i) < (this->ideal[*best] + 1) * this->Price(*best)) {
          best = i;
        }
      }
      if (!best) break;
      ++this->ideal[*best];
    }
  }

  int IdealOfZone(std::size_t i) const {
    int sum = 0;
    for (std::size_t other = 0; other < this->ideal.size(); ++other) {
      if (this->Group(other).zone == this->Group(i).zone) sum += this->ideal[other];
    }
    return sum;
  }

  void RaiseToMinimum() {
    const int minimum = this->inputs.scaling.min;
    std::set<std::string> zones;
    for (const EngineGroup& group : this->inputs.groups) zones.insert(group.zone);
    for (const std::string& zone : zones) {
      int ideal_sum = 0;
      int planned_sum = 0;
      std::optional<std::size_t> best;
      for (std::size_t i = 0; i < this->ideal.size(); ++i) {
        if (this->Group(i).zone != zone) continue;
        ideal_sum += this->ideal[i];
        planned_sum += this->plan.counts[i].count;
        if (!this->Available(i)) continue;
        // A zone keeps the regular engines that it has; new ones for the minimum are the cheapest.
        if (!best || this->Price(i) < this->Price(*best)) best = i;
      }
      if (!best) continue;
      this->ideal[*best] += std::max(0, minimum - ideal_sum);
      if (planned_sum < minimum) {
        this->plan.counts[*best].count += minimum - planned_sum;
        this->plan.counts[*best].reason = CountReason::kMinimum;
      }
    }
  }

  bool MayRemove() const {
    const Duration delay = LoweringDelay(this->inputs.scaling);
    const ScalingMemory& memory = this->plan.memory;
    if (!memory.surplus_since || this->now - *memory.surplus_since < delay) return false;
    if (memory.changed_at && this->now - *memory.changed_at < kStepInterval) return false;
    // After a loss, the same demand needs more engines than before.
    if (this->now - this->inputs.lost_at < delay) return false;
    if (memory.demand_since && this->now - *memory.demand_since < kDemandWindow) return false;
    return this->ObservedWindow();
  }

  void RemoveSurplus() {
    int serving = 0;
    bool steady = true;
    bool surplus = false;
    for (std::size_t i = 0; i < this->ideal.size(); ++i) {
      const EngineGroup& group = this->Group(i);
      serving += std::min(group.present, group.intended);
      steady = steady && this->plan.counts[i].reason == CountReason::kKeep && this->Available(i) &&
               group.settled && group.present >= group.intended;
      surplus = surplus || group.intended > this->ideal[i];
    }
    if (!steady || !surplus) {
      this->plan.memory.surplus_since.reset();
      return;
    }
    if (!this->plan.memory.surplus_since) this->plan.memory.surplus_since = this->now;
    if (!this->MayRemove()) return;
    const int part = std::max(1, serving / kLoweringParts);
    const int spare = serving - this->plan.total;
    if ((spare > 0 && this->Lower(std::min(part, spare))) || this->Shift(part)) {
      this->plan.memory.changed_at = this->now;
    }
  }

  // Removes up to `part` engines where the surplus is the most expensive.
  bool Lower(int part) {
    std::optional<std::size_t> found;
    double found_price = 0;
    int found_surplus = 0;
    for (std::size_t i = 0; i < this->ideal.size(); ++i) {
      const EngineGroup& group = this->Group(i);
      int surplus = std::min(group.intended - std::max(this->ideal[i], group.busy),
                             this->IntendedOfZone(i) - this->inputs.scaling.min);
      // The platform chooses the engines that it removes, so most of them have to be idle.
      if (group.busy > kMaxBusyShare * group.intended) continue;
      if (!group.reclaimable) {
        surplus = std::min(surplus, this->UsableOfKind(false) - this->regular_needed);
      }
      const double price = this->Price(i) * surplus;
      if (surplus <= 0 || (found && price <= found_price)) continue;
      found = i;
      found_price = price;
      found_surplus = surplus;
    }
    if (!found) return false;
    this->plan.counts[*found].count = this->Group(*found).intended - std::min(part, found_surplus);
    this->plan.counts[*found].reason = CountReason::kSurplus;
    return true;
  }

  int IntendedOfZone(std::size_t i) const {
    int sum = 0;
    for (const EngineGroup& group : this->inputs.groups) {
      if (group.zone == this->Group(i).zone) sum += group.intended;
    }
    return sum;
  }

  // Orders up to `part` engines in place of more expensive ones, which Lower removes afterwards.
  bool Shift(int part) {
    std::optional<std::size_t> from;
    std::optional<std::size_t> to;
    for (std::size_t i = 0; i < this->ideal.size(); ++i) {
      const int intended = this->Group(i).intended;
      const bool dearer = !from || this->Price(i) > this->Price(*from);
      const bool cheaper = !to || this->Price(i) < this->Price(*to);
      if (intended > this->ideal[i] && dearer) from = i;
      if (intended < std::min(this->ideal[i], this->Room(i)) && cheaper) to = i;
    }
    if (!from || !to || this->Price(*from) < kShiftSaving * this->Price(*to)) return false;
    const int intended = this->Group(*to).intended;
    const int raised = std::min({this->ideal[*to], this->Room(*to), intended + part});
    this->plan.counts[*to].count = raised;
    this->plan.counts[*to].reason = CountReason::kShift;
    return true;
  }

  const ScalingInputs& inputs;
  TimePoint now;
  int regular_needed = 0;
  std::vector<int> ideal;  // engines by group, without regard to those that are present
  ScalingPlan plan;
};

}  // namespace

const char* CountReasonName(CountReason reason) {
  switch (reason) {
    case CountReason::kKeep:
      return "keep";
    case CountReason::kBeforeDemand:
      return "before the first step";
    case CountReason::kDemand:
      return "demand";
    case CountReason::kMinimum:
      return "minimum";
    case CountReason::kSurplus:
      return "surplus";
    case CountReason::kShift:
      return "cheaper elsewhere";
  }
  return "unknown";
}

Duration LoweringDelay(const EngineScaling& scaling) {
  return std::max<Duration>(kLoweringSteps * kStepInterval, 2 * scaling.boot_time);
}

ScalingPlan PlanEngines(const ScalingInputs& inputs, TimePoint now) {
  return Planner(inputs, now).Run();
}

}  // namespace anvilcroft
