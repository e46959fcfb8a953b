#include "anvilcroft/batch_owner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "anvilcroft/dispensable_groups.h"
#include "anvilcroft/log.h"
#include "anvilcroft/sharing/service_pools.h"
#include "anvilcroft/straggler_plan.h"
#include "anvilcroft/text_restart.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "batch";
constexpr Duration kCallTimeout = milliseconds(650);
// Maximum interval between plans. Most plans are made earlier, after a change of their inputs.
constexpr Duration kPlanInterval = milliseconds(100);
constexpr Duration kCoalesceDelay = milliseconds(1);  // one plan for changes that arrive together
// Assumed number of events of an item without an estimate.
constexpr double kDefaultItemEvents = 20;
// Items with more expected events left than this may outlast the training step, so they preferably
// start on the newest weight version.
constexpr double kPreferNewestEvents = 60;
// Texts that would take long to generate again are saved for the next owner.
constexpr Duration kSaveInterval = milliseconds(700);
constexpr int64_t kMinEventsToSave = 12;
// An item is preferably not placed again on the engine that it was moved from within this time.
constexpr Duration kMovePause = milliseconds(800);

double ExpectedEvents(const OwnedJob& job, const BatchItem& item) {
  return item.expected_tokens > 0 ? item.expected_tokens / job.tokens_per_event
                                  : kDefaultItemEvents;
}

// Expected number of events left for `item`, to compare it with other items. Estimates above the
// limit of the output are not capped: the higher the estimate, the more likely the item reaches the
// limit.
double OrderingEventsLeft(const OwnedJob& job, const OwnedItem& item) {
  return ExpectedEventsLeft(ExpectedEvents(job, item.item), 0, item.text.events);
}

// Expected number of events left for `item`, to compute a time from; capped by the output limit.
double EventsLeft(const OwnedJob& job, const OwnedItem& item) {
  return ExpectedEventsLeft(ExpectedEvents(job, item.item),
                            item.item.max_output_tokens / job.tokens_per_event, item.text.events);
}

// The groups of a job with the expected number of events left for the longest item of each.
std::vector<GroupProgress> GroupsOf(const OwnedJob& job) {
  std::map<std::string, GroupProgress> groups;
  for (const OwnedItem& item : job.items) {
    GroupProgress& group = groups[item.item.group];
    group.group = item.item.group;
    group.required = group.required || item.carried;
    if (item.phase == ItemPhase::kFinished || item.text.complete) continue;
    group.events_left = std::max(group.events_left, OrderingEventsLeft(job, item));
  }
  std::vector<GroupProgress> list;
  for (auto& [name, group] : groups) list.push_back(std::move(group));
  return list;
}

// Describes `item` for its placement, without key, route, priority and rank. Removes the engines
// from item.avoid whose time has passed.
WaitingItem DescribeWaiting(const OwnedJob& job, OwnedItem& item, const ServiceRoute& route,
                            TimePoint now) {
  WaitingItem entry;
  entry.model = job.head.model;
  entry.min_version = job.head.min_version;
  if (route.single_version && !item.text.versions.empty()) {
    entry.only_version = item.text.versions.front();
  }
  entry.software = item.text.software;
  entry.events_done = static_cast<double>(item.text.events);
  entry.events_left = OrderingEventsLeft(job, item);
  entry.prefer_newest = entry.events_left > kPreferNewestEvents;
  for (auto it = item.avoid.begin(); it != item.avoid.end();) {
    if (it->second <= now) {
      it = item.avoid.erase(it);
    } else {
      entry.avoid.insert(it->first);
      ++it;
    }
  }
  return entry;
}

}  // namespace

BatchOwner::BatchOwner(BatchContext& context)
    : context(context), runner(context), lister(context), weights(context) {}

void BatchOwner::Start() {
  Runtime& runtime = this->context.runtime;
  runtime.SpawnService("batch jobs", [this](Task& task) { this->WatchJobs(task); });
  runtime.SpawnService("plan", [this](Task& task) { this->RunPlanner(task); });
  runtime.SpawnService("save texts", [this](Task& task) { this->SaveTextsPeriodically(task); });
}

void BatchOwner::SaveTextsPeriodically(Task& task) {
  while (!this->handing_over) {
    SleepUntil(task, SteadyNow() + kSaveInterval);
    if (!this->context.lease.Held().ValidAt(BootNow())) continue;
    this->SaveTexts(task, kMinEventsToSave, SteadyNow() + kCallTimeout);
  }
}

void BatchOwner::SaveTexts(Task& task, int64_t min_events, TimePoint deadline) {
  // A copy, as other tasks may change the map while this one waits.
  const auto jobs = this->context.jobs.Loaded();
  for (const auto& [id, job] : jobs) {
    std::vector<std::pair<std::string, ItemText>> texts;
    for (OwnedItem& item : job->items) {
      if (item.phase == ItemPhase::kFinished) continue;
      if (item.text.events - item.saved_events < min_events) continue;
      texts.emplace_back(item.item.id, item.text);
      item.saved_events = item.text.events;
    }
    if (texts.empty() || job->removed) continue;
    const auto saved = this->context.store.SaveTexts(task, id, texts, deadline);
    if (!saved) {
      LogInfo(kPart, "could not save the texts of unfinished items for the next owner",
              {{"batch", id},
               {"texts", std::to_string(texts.size())},
               {"error", ErrorCodeName(saved.error().code)}});
      return;
    }
  }
}

JobTexts BatchOwner::UnfinishedTexts() const {
  JobTexts texts;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    std::set<std::string> unlisted;
    for (const ItemResult& result : job->unlisted_results) unlisted.insert(result.item_id);
    for (const OwnedItem& item : job->items) {
      if (item.text.events == 0) continue;
      if (item.phase == ItemPhase::kFinished && unlisted.count(item.item.id) == 0) continue;
      texts.emplace(std::make_pair(id, item.item.id), item.text);
    }
  }
  return texts;
}

void BatchOwner::AddHandedTexts(JobTexts texts, TimePoint now) {
  this->handed_texts = std::move(texts);
  this->handed_texts_at = now;
}

void BatchOwner::HandOver(Task& task, TimePoint deadline) {
  if (this->context.jobs.Loaded().empty()) return;
  this->handing_over = true;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    for (OwnedItem& item : job->items) {
      if (item.phase == ItemPhase::kRunning && item.run) item.run->Cancel();
    }
  }
  this->SaveTexts(task, 1, deadline);
}

void BatchOwner::RunPlanner(Task& task) {
  while (true) {
    if (this->context.plan_inputs_changed.WaitUntil(task, SteadyNow() + kPlanInterval)) {
      SleepUntil(task, SteadyNow() + kCoalesceDelay);
    }
    if (this->context.scope.Generation() != this->generation) this->ChangeSlice(task);
    // A successor runs the same items, so the runs end without waiting for a call to the store.
    if (this->context.lease.Held().fencing == 0) this->DropAllJobs();
    if (this->handing_over || !this->context.lease.Held().ValidAt(BootNow())) continue;
    this->Plan(SteadyNow());
  }
}

void BatchOwner::Plan(TimePoint now) {
  this->carried_texts.Expire(now);
  this->context.engine_tracker.Update(this->context.pool.All(), now, this->context.scope);
  this->ExpireItems();
  this->DropForbiddenTexts();
  this->MoveStragglers(now);
  this->PlaceWaitingItems(now);
  std::map<std::string, int> waiting;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    for (const OwnedItem& item : job->items) {
      if (item.phase == ItemPhase::kWaiting) ++waiting[job->head.model];
    }
  }
  this->weights.Plan(waiting, now);
}

void BatchOwner::ExpireItems() {
  const StoreMillis store_time = this->context.metadata.StoreTime(BootNow()).earliest;
  const auto routes = this->context.routes();
  if (!routes) return;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    const ServiceRoute* route = routes->Match(job->head.host, job->head.path);
    if (route == nullptr) continue;
    const bool lifetime_over = route->item_lifetime > Duration::zero() &&
                               store_time - job->head.submitted_at > ToMillis(route->item_lifetime);
    for (std::size_t i = 0; i < job->items.size(); ++i) {
      if (job->items[i].phase != ItemPhase::kWaiting) continue;
      if (lifetime_over) {
        this->runner.Expire(job, i, "the item's lifetime is over");
      } else if (job->items[i].failures >= route->max_targets) {
        this->runner.Expire(job, i, "the item failed as often as its route allows");
      }
    }
  }
}

void BatchOwner::DropForbiddenTexts() {
  const auto routes = this->context.routes();
  if (!routes) return;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    for (OwnedItem& item : job->items) {
      // A text with one version was allowed when it was loaded or generated.
      if (item.text.versions.size() < 2 || item.phase == ItemPhase::kFinished) continue;
      const ServiceRoute* route = RouteOf(*routes, job->head, item.item);
      if (route == nullptr || TextAllowed(item, job->head, *route)) continue;
      if (item.run) item.run->Cancel();
      if (item.phase == ItemPhase::kWaiting) this->runner.DropForbiddenText(*job, item);
    }
  }
}

void BatchOwner::PlaceWaitingItems(TimePoint now) {
  const auto routes = this->context.routes();
  if (!routes || BootNow() - this->context.jobs_confirmed_at > this->context.max_job_age) return;
  const auto& services = routes->Services();
  const bool scaled =
      std::any_of(services.begin(), services.end(),
                  [](const TargetService& service) { return service.scaling.has_value(); });
  std::vector<PlacementEngine> engines;
  if (scaled) engines = this->DescribeEngines(now);
  this->deferred_jobs = scaled ? this->DeferredJobs(engines, now) : std::set<std::string>();
  std::vector<WaitingItem> waiting;
  std::vector<PlacementRoute> placement_routes;
  std::map<const ServiceRoute*, std::size_t> route_indices;
  std::vector<ItemKey> items_by_key;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    const std::set<std::string> dispensable = DispensableGroups(GroupsOf(*job), job->target_groups);
    for (std::size_t i = 0; i < job->items.size(); ++i) {
      OwnedItem& item = job->items[i];
      if (item.phase != ItemPhase::kWaiting || now < item.not_before) continue;
      if (item.text.complete) {
        this->runner.StartScoring(job, i);
        continue;
      }
      const ServiceRoute* route = RouteOf(*routes, job->head, item.item);
      if (route == nullptr) continue;
      WaitingItem entry = DescribeWaiting(*job, item, *route, now);
      entry.key = items_by_key.size();
      if (entry.only_version != 0) {
        entry.may_restart = this->MayRestart(item, *route, entry.model, now);
      }
      const auto [index, added] = route_indices.emplace(route, placement_routes.size());
      if (added) placement_routes.push_back({route->split, {}});
      entry.route = index->second;
      entry.priority = routes->PriorityOf(route, job->head.customer).value_or(route->priority);
      entry.rank = item.carried                              ? ItemRank::kRequired
                   : dispensable.count(item.item.group) != 0 ? ItemRank::kDispensable
                                                             : ItemRank::kNormal;
      entry.deferred = this->deferred_jobs.count(id) != 0;
      items_by_key.emplace_back(job, i);
      waiting.push_back(std::move(entry));
    }
  }
  if (waiting.empty()) return;
  if (!scaled) engines = this->DescribeEngines(now);
  for (const auto& [route, index] : route_indices) {
    // The weights matter only between several services.
    if (route->split.Active().size() < 2) continue;
    placement_routes[index].running = this->RunningByService(*routes, *route);
  }
  const PlacementPlan plan = PlaceItems(std::move(waiting), engines, placement_routes);
  RecordHeldItems(plan, items_by_key, now);
  for (const Placement& placement : plan.placements) {
    const auto& [job, index] = items_by_key[placement.key];
    if (placement.anew) {
      this->runner.DropText(job->items[index],
                            "its engine has another version of the weights or the software");
    }
    this->runner.Start(job, index, placement.engine, placement.version);
  }
}

void BatchOwner::RecordHeldItems(const PlacementPlan& plan,
                                 const std::vector<ItemKey>& items_by_key, TimePoint now) {
  const std::set<std::size_t> held(plan.held.begin(), plan.held.end());
  // A run that begins ends the wait only with its first event: its engine may not answer.
  std::set<std::size_t> placed;
  for (const Placement& placement : plan.placements) placed.insert(placement.key);
  for (std::size_t key = 0; key < items_by_key.size(); ++key) {
    if (placed.count(key) != 0) continue;
    const auto& [job, index] = items_by_key[key];
    OwnedItem& item = job->items[index];
    if (held.count(key) == 0) {
      item.held_since.reset();
    } else if (!item.held_since) {
      item.held_since = now;
      LogInfo(kPart, "no engine with the version of a text can run its item",
              {{"item", item.item.id},
               {"batch", job->head.id},
               {"version", std::to_string(item.text.versions.front())},
               {"events", std::to_string(item.text.events)}});
    }
  }
}

bool BatchOwner::MayRestart(const OwnedItem& item, const ServiceRoute& route,
                            const std::string& model, TimePoint now) {
  const bool version_left = AnyMayHaveVersion(this->context.engine_tracker, this->context.pool,
                                              route.split, model, item.text.versions.front());
  const Duration held_for = item.held_since ? now - *item.held_since : Duration::zero();
  const std::chrono::duration<double, std::milli> text_time(
      static_cast<double>(item.text.events) * this->context.engine_tracker.MedianEventMs());
  return ShouldRestartText(version_left, held_for, std::chrono::duration_cast<Duration>(text_time));
}

std::map<std::string, int> BatchOwner::RunningByService(const RouteTable& routes,
                                                        const ServiceRoute& route) const {
  std::map<std::string, int> running;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    for (const OwnedItem& item : job->items) {
      if (item.phase != ItemPhase::kRunning || RouteOf(routes, job->head, item.item) != &route)
        continue;
      const EngineState* engine = this->context.engine_tracker.Find(item.engine);
      if (engine != nullptr) ++running[engine->entry.service];
    }
  }
  return running;
}

std::set<std::string> BatchOwner::DeferredJobs(const std::vector<PlacementEngine>& engines,
                                               TimePoint now) {
  const auto routes = this->context.routes();
  const double event_ms =
      this->context.engine_tracker.MedianEventMs() * LoadFactor(kUsableShareWithLongItem);
  const StoreMillis store_time = this->context.metadata.StoreTime(BootNow()).latest;
  ServicePools pools;
  for (const ServiceRoute& route : routes->Routes()) {
    if (route.kind == RouteKind::kRollout) pools.Join(route.split);
  }
  std::map<std::string, int> slots;  // by pool
  for (const PlacementEngine& engine : engines) slots[pools.PoolOf(engine.service)] += engine.slots;
  std::vector<OpenStep> steps;
  std::vector<std::string> trainers;
  std::vector<std::string> jobs;
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    const ServiceRoute* route = routes->Match(job->head.host, job->head.path);
    if (route == nullptr || route->result_target <= Duration::zero()) continue;
    const auto& shares = route->split.Active();
    const bool scaled = std::any_of(shares.begin(), shares.end(), [&](const ServiceShare& share) {
      const TargetService* service = routes->FindService(share.service);
      return service != nullptr && service->scaling;
    });
    if (!scaled || event_ms <= 0) continue;
    OpenStep step;
    step.key = jobs.size();
    step.pool = pools.PoolOf(route->split);
    step.priority = routes->PriorityOf(route, job->head.customer).value_or(route->priority);
    step.time_limit = route->result_target;
    step.due_in = route->result_target - milliseconds(store_time - job->head.submitted_at);
    const std::set<std::string> dispensable =
        DispensableGroups(GroupsOf(*job), job->head.target_groups);
    for (const OwnedItem& item : job->items) {
      if (item.phase == ItemPhase::kFinished || item.text.complete) continue;
      if (dispensable.count(item.item.group) != 0) continue;
      const double item_ms = EventsLeft(*job, item) * event_ms;
      step.work_ms += item_ms;
      step.longest_ms = std::max(step.longest_ms, item_ms);
    }
    steps.push_back(std::move(step));
    trainers.push_back(job->head.model);
    jobs.push_back(id);
  }
  std::set<std::string> deferred;
  if (steps.empty()) return deferred;
  for (const std::size_t key : this->steps.Defer(std::move(steps), trainers, slots, now)) {
    deferred.insert(jobs[key]);
    if (this->deferred_jobs.count(jobs[key]) == 0) {
      LogInfo(kPart, "deferred a step that cannot be in time together with the others",
              {{"batch", jobs[key]}, {"open", std::to_string(jobs.size())}});
      this->context.metrics.Increment("anvilcroft_deferred_steps_total", {});
    }
  }
  return deferred;
}

std::vector<PlacementEngine> BatchOwner::DescribeEngines(TimePoint now) {
  std::map<std::string, int> long_items;  // by engine
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    for (const OwnedItem& item : job->items) {
      if (item.phase != ItemPhase::kRunning) continue;
      const bool is_long = OrderingEventsLeft(*job, item) >= kLongItemEvents ||
                           static_cast<double>(item.text.events) >= kLongItemEvents;
      if (is_long) ++long_items[item.engine];
    }
  }
  std::vector<PlacementEngine> engines;
  for (const auto& [id, state] : this->context.engine_tracker.All()) {
    const PoolTarget* target = this->context.pool.Find(id);
    if (target == nullptr || target->Leaving() || target->removal_at) continue;
    if (state.unconfirmed || IsPaused(*target, now)) continue;
    PlacementEngine engine;
    engine.id = id;
    engine.service = state.entry.service;
    engine.software = state.entry.software;
    engine.slots = state.entry.slots;
    for (const auto& [model, running] : state.running) engine.running += running;
    if (target->consecutive_no_responses > 0) {
      engine.slots = std::min(engine.slots, engine.running + 1);
    }
    if (const auto permit_wait = this->context.limiter.NextPermit(target->entry, now)) {
      // One run at a time waits for a permit, so that the others can go elsewhere meanwhile.
      const bool full = state.awaiting_permit > 0 || *permit_wait > RequestLimiter::kMaxWait;
      engine.slots = std::min(engine.slots, engine.running + (full ? 0 : 1));
      engine.permit_wait = *permit_wait;
    }
    engine.long_items = long_items[id];
    engine.pace = this->context.engine_tracker.Forecast(state, now);
    engine.failure_share = FailureProbability(*target, now);
    engine.versions = state.versions;
    if (!state.loading_model.empty()) engine.loading.insert(state.loading_model);
    engines.push_back(std::move(engine));
  }
  return engines;
}

void BatchOwner::MoveStragglers(TimePoint now) {
  std::vector<RunningItem> running;
  std::vector<OwnedItem*> items_by_key;
  const auto routes = this->context.routes();
  for (const auto& [id, job] : this->context.jobs.Loaded()) {
    for (OwnedItem& item : job->items) {
      if (item.phase != ItemPhase::kRunning || !item.run || item.run->Cancelled()) continue;
      if (item.awaiting_permit) continue;
      const ServiceRoute* route = routes ? RouteOf(*routes, job->head, item.item) : nullptr;
      const bool single_version = route != nullptr && route->single_version;
      const EngineState* engine = this->context.engine_tracker.Find(item.engine);
      if (engine == nullptr) continue;
      RunningItem entry;
      entry.key = items_by_key.size();
      entry.engine = item.engine;
      if (route != nullptr) entry.services = route->split;
      entry.model = job->head.model;
      entry.min_version = job->head.min_version;
      if (single_version && !item.text.versions.empty()) {
        entry.only_version = item.text.versions.front();
      }
      if (item.text.events > 0) entry.software = item.text.software;
      entry.events_left = EventsLeft(*job, item);
      entry.events_here = item.text.events - item.events_before_run;
      entry.since_event = now - item.last_event;
      entry.moves = item.moves;
      items_by_key.push_back(&item);
      running.push_back(std::move(entry));
    }
  }
  if (running.empty()) return;
  for (const std::size_t key : PlanMoves(running, this->DescribeEngines(now))) {
    OwnedItem& item = *items_by_key[key];
    LogInfo(kPart, "cancelling a run to move the item to a faster engine",
            {{"item", item.item.id},
             {"engine", item.engine},
             {"events", std::to_string(item.text.events)},
             {"since_event_ms", std::to_string(ToMillis(now - item.last_event))},
             {"moves", std::to_string(item.moves)}});
    ++item.moves;
    item.avoid[item.engine] = now + kMovePause;
    item.run->Cancel();
  }
}

}  // namespace anvilcroft
