#include "anvilcroft/scaling/engine_scaler.h"

#include <algorithm>

namespace anvilcroft {
namespace {

constexpr Duration kPlanInterval = milliseconds(100);
// Instances without the lease only follow which engines come and go.
constexpr Duration kStandbyInterval = milliseconds(500);
// A target's entry may be missing this long around an outage of the store.
constexpr Duration kPresenceWindow = seconds(3);
// Before the first step, orders wait until no further engine has registered for this long. An order
// for fewer engines than are present would remove some.
constexpr Duration kRegistrationPause = milliseconds(1500);
// Without any engine, orders wait this long for the first one to register.
constexpr Duration kFirstRegistration = seconds(5);
// Assumed for items without an estimate, as for their placement.
constexpr double kDefaultItemEvents = 20;
constexpr Duration kDefaultDue = milliseconds(7500);
// A load report tells for this long whether an engine runs requests.
constexpr Duration kReportLifetime = seconds(1);

// The services that run the job's items.
TrafficSplit ServicesOf(const RouteTable& routes, const BatchHead& head) {
  const ServiceRoute* route = routes.Match(head.host, head.path);
  return route == nullptr ? TrafficSplit() : route->split;
}

double ExpectedEvents(const OwnedJob& job, const BatchItem& item) {
  if (item.expected_tokens <= 0) return kDefaultItemEvents;
  const double tokens = item.max_output_tokens > 0
                            ? std::min(item.expected_tokens, item.max_output_tokens)
                            : item.expected_tokens;
  return tokens / job.tokens_per_event;
}

// Expected events of the longest item of the groups that the trainer waits for.
double LongestRequired(const OwnedJob& job) {
  std::map<std::string, double> by_group;
  for (const OwnedItem& item : job.items) {
    double& longest = by_group[item.item.group];
    longest = std::max(longest, ExpectedEvents(job, item.item));
  }
  std::vector<double> longest;
  for (const auto& [group, events] : by_group) longest.push_back(events);
  if (longest.empty()) return 0;
  std::sort(longest.begin(), longest.end());
  const auto target = static_cast<std::size_t>(std::max<int64_t>(0, job.head.target_groups));
  return target == 0 || target > longest.size() ? longest.back() : longest[target - 1];
}

}  // namespace

EngineScaler::EngineScaler(BatchContext& context, const CloudSettings& settings,
                           Duration lease_duration)
    : context(context),
      settings(settings),
      lease_duration(lease_duration),
      client(context.runtime, settings.address) {}

void EngineScaler::Start() {
  this->context.runtime.SpawnService("engine scaling", [this](Task& task) { this->Run(task); });
}

void EngineScaler::ApplySettings(const CloudSettings& changed) {
  this->settings = changed;
  this->client.SetAddress(changed.address);
}

int EngineScaler::Group::StablePresent() const {
  int most = this->present;
  for (const auto& [time, count] : this->history) most = std::max(most, count);
  return most;
}

void EngineScaler::Run(Task& task) {
  while (true) {
    SleepUntil(task, SteadyNow() + (this->fencing != 0 ? kPlanInterval : kStandbyInterval));
    const auto routes = this->context.routes();
    if (!routes) continue;
    this->Observe(*routes, SteadyNow());
    if (!this->PrepareTerm(task) || !this->MayOrder(this->fencing)) continue;
    if (this->unconfirmed && !this->ConfirmLease(task, this->fencing)) continue;
    this->ObserveDemand(*routes, SteadyNow());
    for (const TargetService& service : routes->Services()) {
      if (service.scaling && service.model_engines) this->PlanService(service, SteadyNow());
    }
  }
}

EngineScaler::Group& EngineScaler::GetGroup(const EngineGroupId& id) {
  const auto [entry, added] = this->groups.try_emplace(id);
  Group& group = entry->second;
  if (!added) return group;
  const MetricLabels labels = {{"service", id.service},
                               {"zone", id.zone},
                               {"kind", id.reclaimable ? "reclaimable" : "regular"}};
  const auto add = [&](const char* name, int (*read)(const Group&)) {
    this->context.metrics.RegisterGauge(name, labels, [this, id, read] {
      const auto found = this->groups.find(id);
      return found == this->groups.end() ? 0.0 : static_cast<double>(read(found->second));
    });
  };
  add("anvilcroft_engines_desired", [](const Group& group) { return group.desired; });
  add("anvilcroft_engines_ordered",
      [](const Group& group) { return group.orders.accepted.value_or(0); });
  add("anvilcroft_engines_present", [](const Group& group) { return group.present; });
  return group;
}

void EngineScaler::Observe(const RouteTable& routes, TimePoint now) {
  for (auto& [id, group] : this->groups) {
    group.present = 0;
    group.busy = 0;
  }
  std::set<EngineGroupId> losses;
  std::set<std::pair<std::string, WallMillis>> still_leaving;
  for (const auto& [id, target] : this->context.pool.All()) {
    const TargetEntry& entry = target.entry;
    const TargetService* service = routes.FindService(entry.service);
    if (service == nullptr || !service->scaling || entry.zone.empty()) continue;
    const EngineGroupId group_id{entry.service, entry.zone, entry.reclaimable};
    Group& group = this->GetGroup(group_id);
    if (target.Leaving()) {
      still_leaving.emplace(id, entry.started_at);
      const bool is_new = this->leaving.count({id, entry.started_at}) == 0;
      if (is_new && entry.reclaimable) losses.insert(group_id);
      continue;
    }
    ++group.present;
    const EngineState* state = this->context.engine_tracker.Find(id);
    bool busy = target.in_flight > 0;
    busy = busy || (target.report && target.report->running > 0 &&
                    now - target.reported_at < kReportLifetime);
    if (state != nullptr) {
      for (const auto& [model, running] : state->running) busy = busy || running > 0;
    }
    group.busy += busy ? 1 : 0;
  }
  this->leaving = std::move(still_leaving);
  for (const EngineGroupId& id : losses) {
    Group& group = this->groups[id];
    // Engines also leave after an order for fewer of them.
    if (group.orders.accepted && group.present >= *group.orders.accepted) continue;
    group.orders = WithLoss(std::move(group.orders), now);
    group.history.clear();
    this->services[id.service].lost_at = now;
  }
  std::map<std::string, int> present;
  for (auto& [id, group] : this->groups) {
    present[id.service] += group.present;
    group.history.emplace_back(now, group.present);
    while (now - group.history.front().first > kPresenceWindow) group.history.pop_front();
    if (group.row_version == 0 && !group.orders.in_flight) {
      group.orders.initial = std::max(group.orders.initial, group.present);
    }
  }
  for (const auto& [name, count] : present) {
    Service& service = this->services[name];
    if (count > service.present) service.grown_at = now;
    service.present = count;
  }
}

void EngineScaler::ObserveDemand(const RouteTable& routes, TimePoint now) {
  const StoreMillis store_now = this->context.metadata.StoreTime(BootNow()).latest;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    const TrafficSplit split = ServicesOf(routes, job->head);
    const milliseconds age(std::max<StoreMillis>(0, store_now - job->head.submitted_at));
    if (age > kDemandWindow) continue;
    for (const ServiceShare& share : split.Active()) {
      DemandWindow& demand = this->services[share.service].demand;
      if (demand.Contains(id)) continue;
      StepDemand step;
      step.job = id;
      step.model = job->head.model;
      step.submitted_at = now - age;
      step.due = routes.Match(job->head.host, job->head.path)->result_target;
      if (step.due <= Duration::zero()) step.due = kDefaultDue;
      for (const OwnedItem& item : job->items) {
        step.events += ExpectedEvents(*job, item.item) * split.ShareOf(share.service);
      }
      step.longest_events = LongestRequired(*job);
      demand.Record(step);
    }
  }
  for (auto& [name, service] : this->services) service.demand.Expire(now);
}

double EngineScaler::OutstandingEvents(const RouteTable& routes, const std::string& service) const {
  double events = 0;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    const double share = ServicesOf(routes, job->head).ShareOf(service);
    for (const OwnedItem& item : job->items) {
      if (item.phase != ItemPhase::kWaiting && item.phase != ItemPhase::kRunning) continue;
      if (item.text.complete) continue;
      const EngineState* engine = item.phase == ItemPhase::kRunning
                                      ? this->context.engine_tracker.Find(item.engine)
                                      : nullptr;
      const double part = engine == nullptr ? share : engine->entry.service == service ? 1 : 0;
      events += part * std::max(0.0, ExpectedEvents(*job, item.item) -
                                         static_cast<double>(item.text.events));
    }
  }
  return events;
}

double EngineScaler::MeasuredEventMs(const std::string& service) const {
  std::vector<double> times;
  for (const auto& [id, state] : this->context.engine_tracker.All()) {
    if (state.entry.service == service && state.pace.NormalMs() > 0) {
      times.push_back(state.pace.NormalMs());
    }
  }
  if (times.empty()) return this->context.engine_tracker.MedianEventMs();
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void EngineScaler::AddGroups(const TargetService& service) {
  std::set<std::string> zones;
  for (const auto& [zone, price] : service.scaling->zone_prices) zones.insert(zone);
  for (const auto& [id, group] : this->groups) {
    if (id.service == service.name) zones.insert(id.zone);
  }
  for (const std::string& zone : zones) {
    this->GetGroup({service.name, zone, false});
    if (service.scaling->reclaimable_price) this->GetGroup({service.name, zone, true});
  }
}

bool EngineScaler::ZoneOrderedRecently(const EngineGroupId& id, TimePoint now) const {
  const auto other = this->groups.find({id.service, id.zone, !id.reclaimable});
  if (other == this->groups.end()) return false;
  const GroupOrders& orders = other->second.orders;
  const TimePoint lost_at = std::max(orders.lost_at, this->groups.at(id).orders.lost_at);
  return now - orders.ordered_at < kCallInterval && lost_at <= orders.ordered_at;
}

void EngineScaler::PlanService(const TargetService& service, TimePoint now) {
  this->AddGroups(service);
  Service& state = this->services[service.name];
  const auto routes = this->context.routes();
  ScalingInputs inputs;
  inputs.scaling = *service.scaling;
  inputs.slots = std::max(1, service.slots);
  inputs.event_ms = this->MeasuredEventMs(service.name);
  inputs.steps = state.demand.Steps();
  inputs.outstanding_events = this->OutstandingEvents(*routes, service.name);
  inputs.observed_since = this->observed_since;
  inputs.lost_at = state.lost_at;
  inputs.memory = state.memory;
  std::vector<EngineGroupId> ids;
  for (const auto& [id, group] : this->groups) {
    if (id.service != service.name) continue;
    EngineGroup entry;
    entry.zone = id.zone;
    entry.reclaimable = id.reclaimable;
    entry.present = group.StablePresent();
    entry.busy = group.busy;
    entry.intended = group.orders.Intended(entry.present);
    entry.initial = group.orders.initial;
    entry.raised_at = group.orders.raised_at;
    entry.unavailable_until = group.orders.unavailable_until;
    entry.settled = group.orders.Settled(now);
    inputs.groups.push_back(std::move(entry));
    ids.push_back(id);
  }
  const bool registering =
      inputs.steps.empty() &&
      (now - state.grown_at < kRegistrationPause ||
       (state.present == 0 && now - this->observed_since < kFirstRegistration));
  if (registering) return;
  const ScalingPlan plan = PlanEngines(inputs, now);
  state.memory = plan.memory;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    Group& group = this->groups[ids[i]];
    const PlannedCount& planned = plan.counts[i];
    group.desired = planned.count;
    if (now < this->limited_until || this->ZoneOrderedRecently(ids[i], now)) continue;
    const bool changes = planned.reason != CountReason::kKeep;
    const auto count =
        NextOrder(group.orders, changes ? std::optional<int>(planned.count) : std::nullopt,
                  group.present, service.scaling->boot_time, now);
    if (!count) continue;
    this->StartOrder(ids[i], *count, changes ? CountReasonName(planned.reason) : "repeat", now);
  }
}

}  // namespace anvilcroft
