#include "anvilcroft/batch_owner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "anvilcroft/batch_records.h"
#include "anvilcroft/dispensable_groups.h"
#include "anvilcroft/log.h"
#include "anvilcroft/straggler_plan.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "batch";
constexpr Duration kCallTimeout = milliseconds(650);
constexpr Duration kFeedWait = milliseconds(600);  // short, so that a silent connection shows
constexpr Duration kRetryPause = milliseconds(100);
constexpr Duration kIdlePause = milliseconds(100);  // between looks at the lease
constexpr Duration kPlanEvery = milliseconds(100);  // at least; most plans follow an event
constexpr Duration kGather = milliseconds(1);       // events that arrive together make one plan
// Tokens in one event when the configuration does not say, and events of an item without estimate.
constexpr double kTokensPerEvent = 32;
constexpr double kUsualEvents = 20;
// Items expected to go on for this many events may outlast the step.
constexpr double kOutlastingEvents = 60;
// Texts are saved for the next owner this often, those that would take long to make again.
constexpr Duration kSaveEvery = milliseconds(700);
constexpr int64_t kLeastEventsToSave = 12;
// An item does not return to the engine that it was moved from within this time.
constexpr Duration kMovePause = milliseconds(800);

double ExpectedEvents(const BatchItem& item) {
  return item.expected_tokens > 0 ? item.expected_tokens / kTokensPerEvent : kUsualEvents;
}

// How long `item` is expected to go on, to compare it with others. Estimates beyond the bound of
// the output are not cut: the higher they are, the more likely the item reaches the bound.
double OrderingEventsLeft(const OwnedItem& item) {
  return ExpectedEventsLeft(ExpectedEvents(item.item), 0, item.text.events);
}

// Events that `item` is expected to go on for, to compute a time from.
double EventsLeft(const OwnedItem& item) {
  return ExpectedEventsLeft(ExpectedEvents(item.item),
                            item.item.max_output_tokens / kTokensPerEvent, item.text.events);
}

// The groups of a job with the events that the longest item of each still has to make.
std::vector<GroupProgress> GroupsOf(const OwnedJob& job) {
  std::map<std::string, GroupProgress> groups;
  for (const OwnedItem& item : job.items) {
    GroupProgress& group = groups[item.item.group];
    group.group = item.item.group;
    group.required = group.required || item.carried;
    if (item.phase == ItemPhase::kFinished || item.text.complete) continue;
    group.events_left = std::max(group.events_left, OrderingEventsLeft(item));
  }
  std::vector<GroupProgress> list;
  for (auto& [name, group] : groups) list.push_back(std::move(group));
  return list;
}

// What the placement has to know of `item`, without its key and rank. Drops engines that the item
// no longer avoids at `now`.
WaitingItem DescribeWaiting(const OwnedJob& job, OwnedItem& item, const ServiceRoute& route,
                            TimePoint now) {
  WaitingItem entry;
  entry.service = route.split.empty() ? "" : route.split.front().first;
  entry.model = job.head.model;
  entry.min_version = job.head.min_version;
  if (route.single_version && !item.text.versions.empty()) {
    entry.only_version = item.text.versions.front();
  }
  entry.events_left = OrderingEventsLeft(item);
  entry.prefer_newest = entry.events_left > kOutlastingEvents;
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
  this->context.runtime.Spawn([this](Task& task) { this->FollowJobs(task); });
  this->context.runtime.Spawn([this](Task& task) { this->PlanWork(task); });
  this->context.runtime.Spawn([this](Task& task) { this->SaveRegularly(task); });
}

void BatchOwner::SaveRegularly(Task& task) {
  while (!this->handing_over) {
    SleepUntil(task, SteadyNow() + kSaveEvery);
    if (!this->context.lease.Held().ValidAt(BootNow())) continue;
    this->SaveTexts(task, kLeastEventsToSave, SteadyNow() + kCallTimeout);
  }
}

void BatchOwner::SaveTexts(Task& task, int64_t least_events, TimePoint deadline) {
  const auto jobs = this->context.jobs;  // others may change the map while this task waits
  for (const auto& [id, job] : jobs) {
    std::vector<std::pair<std::string, ItemText>> texts;
    for (OwnedItem& item : job->items) {
      if (item.phase == ItemPhase::kFinished) continue;
      if (item.text.events - item.saved_events < least_events) continue;
      texts.emplace_back(item.item.id, item.text);
      item.saved_events = item.text.events;
    }
    if (texts.empty() || job->ended) continue;
    const auto saved = this->context.store.SaveTexts(task, id, texts, deadline);
    if (!saved) {
      LogInfo(kPart, "could not save texts",
              {{"batch", id},
               {"texts", std::to_string(texts.size())},
               {"error", ErrorCodeName(saved.error().code)}});
      return;
    }
  }
}

void BatchOwner::HandOver(Task& task, TimePoint deadline) {
  if (this->context.jobs.empty()) return;
  this->handing_over = true;
  for (const auto& [id, job] : this->context.jobs) {
    for (OwnedItem& item : job->items) {
      if (item.phase == ItemPhase::kRunning && item.run) item.run->Cancel();
    }
  }
  this->SaveTexts(task, 1, deadline);
}

void BatchOwner::FollowJobs(Task& task) {
  int64_t version = 0;
  bool following = false;
  while (true) {
    if (this->context.lease.Held().fencing == 0) {
      if (!this->context.jobs.empty()) this->DropAll();
      following = false;
      SleepUntil(task, SteadyNow() + kIdlePause);
      continue;
    }
    if (!following) {
      following = this->LoadOpenJobs(task, version);
      if (!following) SleepUntil(task, SteadyNow() + kRetryPause);
      continue;
    }
    const BootTime asked = BootNow();
    const auto feed = this->context.metadata.Feed(task, kBatchHeadTable, version, kFeedWait);
    if (!feed) {
      SleepUntil(task, SteadyNow() + kRetryPause);
      continue;
    }
    if (feed->history_lost) {
      LogWarning(kPart, "the store has dropped its history; reading all open jobs again");
      following = false;
      continue;
    }
    version = std::max(version, feed->version);
    for (const StoredRow& row : feed->rows) {
      if (row.removed) {
        this->EndJob(row.id.partition);
        continue;
      }
      const auto head = DecodeHead(row.id.partition, row.value);
      if (head) {
        this->TakeHead(*head);
      } else {
        LogError(kPart, "a job's head cannot be read",
                 {{"batch", row.id.partition}, {"error", head.error().message}});
      }
    }
    this->context.jobs_known_at = asked;
    if (!feed->rows.empty()) this->context.wake.NotifyAll();
  }
}

bool BatchOwner::LoadOpenJobs(Task& task, int64_t& version) {
  // The version is read before the jobs, so that the feed repeats what changes meanwhile.
  const BootTime asked = BootNow();
  RowRange nothing;
  nothing.table = kBatchHeadTable;
  nothing.max_rows = 1;
  const auto read = this->context.metadata.Read(task, nothing, SteadyNow() + kCallTimeout);
  if (!read) return false;
  const auto open = this->context.store.OpenJobs(task, SteadyNow() + kCallTimeout);
  if (!open) return false;
  const std::set<std::string> listed(open->begin(), open->end());
  std::vector<std::string> gone;
  for (const auto& [id, job] : this->context.jobs) {
    if (listed.count(id) == 0) gone.push_back(id);
  }
  for (const std::string& id : gone) this->EndJob(id);
  for (const std::string& id : *open) {
    const auto head = this->context.store.ReadHead(task, id, SteadyNow() + kCallTimeout);
    if (!head) return false;
    if (*head) this->TakeHead(**head);
  }
  version = read->version;
  this->context.jobs_known_at = asked;
  LogInfo(kPart, "owns the batch jobs", {{"open", std::to_string(open->size())}});
  return true;
}

void BatchOwner::TakeHead(const BatchHead& head) {
  if (head.ended) {
    this->EndJob(head.id);
    return;
  }
  if (this->context.jobs.count(head.id) != 0 || !this->loading.insert(head.id).second) return;
  this->context.runtime.Spawn([this, head](Task& task) { this->LoadJob(task, head); });
}

void BatchOwner::LoadJob(Task& task, const BatchHead& head) {
  auto job = std::make_shared<OwnedJob>();
  job->head = head;
  while (true) {
    if (this->context.lease.Held().fencing == 0 || this->ended.erase(head.id) != 0) {
      this->loading.erase(head.id);
      return;
    }
    const TimePoint deadline = SteadyNow() + kCallTimeout;
    auto items = this->context.store.ReadItems(task, head.id, deadline);
    const auto listing = items ? this->context.store.ReadListing(task, head.id, deadline)
                               : Result<Listing>(Listing());
    std::set<std::string> listed;
    bool whole = items && listing;
    while (whole && static_cast<int64_t>(listed.size()) < listing->count) {
      const auto at = static_cast<int64_t>(listed.size());
      const auto results = this->context.store.ReadResults(task, head.id, at, listing->count - at,
                                                           SteadyNow() + kCallTimeout);
      whole = results && !results->empty();
      if (!whole) break;
      for (const ItemResult& result : *results) listed.insert(result.item_id);
    }
    const auto texts = whole ? this->context.store.ReadTexts(task, head.id, deadline)
                             : Result<std::map<std::string, ItemText>>();
    whole = whole && texts;
    if (!whole) {
      SleepUntil(task, SteadyNow() + kRetryPause);
      continue;
    }
    job->listing = *listing;
    for (BatchItem& item : *items) {
      OwnedItem owned;
      owned.item = std::move(item);
      if (listed.count(owned.item.id) != 0) owned.phase = ItemPhase::kFinished;
      const auto text = texts->find(owned.item.id);
      if (text != texts->end()) {
        owned.text = text->second;
        owned.saved_events = owned.text.events;
      }
      job->items.push_back(std::move(owned));
    }
    break;
  }
  this->loading.erase(head.id);
  if (this->ended.erase(head.id) != 0 || this->context.jobs.count(head.id) != 0) return;
  const auto routes = this->context.routes();
  const ServiceRoute* route = routes ? routes->Match(head.host, head.path) : nullptr;
  for (OwnedItem& item : job->items) {
    const auto before = this->carried.Take(item.item.id);
    if (!before) continue;
    item.carried = true;
    if (before->Fits(head.min_version, route != nullptr && route->single_version)) {
      item.text = *before;
    }
  }
  // An item of a carried group is needed whether or not it was begun.
  std::set<std::string> groups;
  for (const OwnedItem& item : job->items) {
    if (item.carried) groups.insert(item.item.group);
  }
  for (OwnedItem& item : job->items) {
    if (groups.count(item.item.group) != 0) item.carried = true;
  }
  job->taken_at = SteadyNow();
  this->context.jobs[head.id] = job;
  LogInfo(kPart, "took a job",
          {{"batch", head.id},
           {"model", head.model},
           {"step", std::to_string(head.step)},
           {"min_version", std::to_string(head.min_version)},
           {"items", std::to_string(job->items.size())},
           {"listed", std::to_string(job->listing.count)},
           {"carried_groups", std::to_string(groups.size())}});
  this->lister.Start(job);
  this->context.wake.NotifyAll();
}

void BatchOwner::EndJob(const std::string& id) {
  if (this->loading.count(id) != 0) this->ended.insert(id);
  const auto found = this->context.jobs.find(id);
  if (found == this->context.jobs.end()) return;
  const std::shared_ptr<OwnedJob> job = found->second;
  this->context.jobs.erase(found);
  job->ended = true;
  this->carried.Keep(*job, SteadyNow());
  int stopped = 0;
  for (OwnedItem& item : job->items) {
    if (!item.run) continue;
    ++stopped;
    item.run->Cancel();
  }
  job->finished_changed.NotifyAll();
  LogInfo(kPart, "a job ended",
          {{"batch", id},
           {"listed", std::to_string(job->listing.count)},
           {"items", std::to_string(job->items.size())},
           {"stopped_runs", std::to_string(stopped)},
           {"age_ms", std::to_string(ToMillis(SteadyNow() - job->taken_at))}});
}

void BatchOwner::DropAll() {
  const auto jobs = std::move(this->context.jobs);
  this->context.jobs.clear();
  for (const auto& [id, job] : jobs) {
    job->ended = true;
    for (OwnedItem& item : job->items) {
      if (item.run) item.run->Cancel();
    }
    job->finished_changed.NotifyAll();
  }
  LogInfo(kPart, "no longer owns the batch jobs", {{"open", std::to_string(jobs.size())}});
}

void BatchOwner::PlanWork(Task& task) {
  while (true) {
    if (this->context.wake.WaitUntil(task, SteadyNow() + kPlanEvery)) {
      SleepUntil(task, SteadyNow() + kGather);
    }
    if (this->handing_over || !this->context.lease.Held().ValidAt(BootNow())) continue;
    this->Plan(SteadyNow());
  }
}

void BatchOwner::Plan(TimePoint now) {
  this->carried.Expire(now);
  this->context.board.Update(this->context.pool.All(), now);
  this->ExpireItems();
  this->MoveStragglers(now);
  this->PlaceWaiting(now);
  std::map<std::string, int> waiting;
  for (const auto& [id, job] : this->context.jobs) {
    for (const OwnedItem& item : job->items) {
      if (item.phase == ItemPhase::kWaiting) ++waiting[job->head.model];
    }
  }
  this->weights.Plan(waiting, now);
}

void BatchOwner::ExpireItems() {
  const StoreMillis store_time = this->context.metadata.StoreTime(BootNow());
  const auto routes = this->context.routes();
  if (!routes) return;
  for (const auto& [id, job] : this->context.jobs) {
    const ServiceRoute* route = routes->Match(job->head.host, job->head.path);
    if (route == nullptr) continue;
    const bool over = route->item_lifetime > Duration::zero() &&
                      store_time - job->head.submitted_at > ToMillis(route->item_lifetime);
    for (std::size_t i = 0; i < job->items.size(); ++i) {
      if (job->items[i].phase != ItemPhase::kWaiting) continue;
      if (over) {
        this->runner.Expire(job, i, "its lifetime is over");
      } else if (job->items[i].failures >= route->max_targets) {
        this->runner.Expire(job, i, "it failed at each attempt");
      }
    }
  }
}

void BatchOwner::PlaceWaiting(TimePoint now) {
  const auto routes = this->context.routes();
  if (!routes || BootNow() - this->context.jobs_known_at > this->context.max_job_age) return;
  std::vector<WaitingItem> waiting;
  std::vector<std::pair<std::shared_ptr<OwnedJob>, std::size_t>> of_key;
  for (const auto& [id, job] : this->context.jobs) {
    const std::set<std::string> dispensable =
        DispensableGroups(GroupsOf(*job), job->head.target_groups);
    for (std::size_t i = 0; i < job->items.size(); ++i) {
      OwnedItem& item = job->items[i];
      if (item.phase != ItemPhase::kWaiting || now < item.not_before) continue;
      if (item.text.complete) {
        this->runner.StartScoring(job, i);
        continue;
      }
      const ServiceRoute* route =
          routes->Match(job->head.host, item.item.path.substr(0, item.item.path.find('?')));
      if (route == nullptr) continue;
      WaitingItem entry = DescribeWaiting(*job, item, *route, now);
      entry.key = of_key.size();
      entry.rank = item.carried                              ? ItemRank::kRequired
                   : dispensable.count(item.item.group) != 0 ? ItemRank::kDispensable
                                                             : ItemRank::kUsual;
      of_key.emplace_back(job, i);
      waiting.push_back(std::move(entry));
    }
  }
  if (waiting.empty()) return;
  for (const Placement& placement : PlaceItems(std::move(waiting), this->Engines(now))) {
    const auto& [job, index] = of_key[placement.key];
    this->runner.Start(job, index, placement.engine, placement.version);
  }
}

std::vector<PlacementEngine> BatchOwner::Engines(TimePoint now) {
  std::map<std::string, int> long_items;  // by engine
  for (const auto& [id, job] : this->context.jobs) {
    for (const OwnedItem& item : job->items) {
      if (item.phase != ItemPhase::kRunning) continue;
      const bool is_long = OrderingEventsLeft(item) >= kLongItemEvents ||
                           static_cast<double>(item.text.events) >= kLongItemEvents;
      if (is_long) ++long_items[item.engine];
    }
  }
  std::vector<PlacementEngine> engines;
  for (const auto& [id, state] : this->context.board.All()) {
    const PoolTarget* target = this->context.pool.Find(id);
    if (target == nullptr || target->entry.draining || target->removal_at) continue;
    if (state.doubted) continue;
    PlacementEngine engine;
    engine.id = id;
    engine.service = state.entry.service;
    engine.slots = state.entry.slots;
    for (const auto& [model, running] : state.running) engine.running += running;
    engine.long_items = long_items[id];
    engine.event_ms = this->context.board.EventMs(state, now);
    engine.failure_share = FailureProbability(*target, now);
    engine.versions = state.versions;
    if (!state.loading_model.empty()) engine.loading.insert(state.loading_model);
    engines.push_back(std::move(engine));
  }
  return engines;
}

void BatchOwner::MoveStragglers(TimePoint now) {
  std::vector<RunningItem> running;
  std::vector<OwnedItem*> of_key;
  for (const auto& [id, job] : this->context.jobs) {
    for (OwnedItem& item : job->items) {
      if (item.phase != ItemPhase::kRunning || !item.run || item.run->Cancelled()) continue;
      const EngineState* engine = this->context.board.Find(item.engine);
      if (engine == nullptr) continue;
      RunningItem entry;
      entry.key = of_key.size();
      entry.engine = item.engine;
      entry.service = engine->entry.service;
      entry.model = job->head.model;
      entry.min_version = job->head.min_version;
      entry.events_left = EventsLeft(item);
      entry.events_here = item.text.events - item.events_before_run;
      entry.since_event = now - item.last_event;
      entry.moves = item.moves;
      of_key.push_back(&item);
      running.push_back(std::move(entry));
    }
  }
  if (running.empty()) return;
  for (const std::size_t key : PlanMoves(running, this->Engines(now))) {
    OwnedItem& item = *of_key[key];
    LogInfo(kPart, "moves an item to a faster engine",
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
