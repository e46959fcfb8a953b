// Guards the decisions about placement, moves, weight loads, targets, leases and addresses, each by
// a replay of the load or the fault that it answers.

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "anvilcroft/batch_records.h"
#include "anvilcroft/carried_texts.h"
#include "anvilcroft/dispensable_groups.h"
#include "anvilcroft/engine_board.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/item_placement.h"
#include "anvilcroft/item_text.h"
#include "anvilcroft/owner_lease.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/straggler_plan.h"
#include "anvilcroft/target_choice.h"
#include "anvilcroft/weight_plan.h"

namespace anvilcroft {
namespace {

const TimePoint kStart = TimePoint() + seconds(1000);

PlacementEngine Engine(const std::string& id, int64_t version, int running = 0) {
  PlacementEngine engine;
  engine.id = id;
  engine.service = "model";
  engine.slots = 4;
  engine.running = running;
  engine.versions = {{"m", version}};
  return engine;
}

WaitingItem Item(std::size_t key, double events, ItemRank rank = ItemRank::kUsual) {
  WaitingItem item;
  item.key = key;
  item.service = "model";
  item.model = "m";
  item.min_version = 1;
  item.rank = rank;
  item.events_left = events;
  return item;
}

// Load pattern: a step with more items than free slots.
TEST_CASE("required items start first, then the longest, then dispensable ones", "[placement]") {
  std::vector<WaitingItem> items = {Item(0, 10), Item(1, 39, ItemRank::kDispensable), Item(2, 35),
                                    Item(3, 5, ItemRank::kRequired), Item(4, 30)};
  const auto placed = PlaceItems(items, {Engine("e", 1)});
  REQUIRE(placed.size() == 4);
  std::vector<std::size_t> order;
  for (const Placement& placement : placed) order.push_back(placement.key);
  CHECK(order == std::vector<std::size_t>{3, 2, 4, 0});
}

TEST_CASE("items run only where the version is allowed and not being loaded", "[placement]") {
  PlacementEngine old = Engine("old", 1);
  PlacementEngine loading = Engine("loading", 3);
  loading.loading = {"m"};
  PlacementEngine good = Engine("good", 2, 3);
  WaitingItem item = Item(0, 10);
  item.min_version = 2;
  const auto placed = PlaceItems({item, item}, {old, loading, good});
  REQUIRE(placed.size() == 1);
  CHECK(placed[0].engine == "good");
  CHECK(placed[0].version == 2);
  item.only_version = 3;
  CHECK(PlaceItems({item}, {old, loading, good}).empty());
}

// Load pattern: a step of which the trainer waits for 90% of the groups.
TEST_CASE("the groups that would end last are dispensable, but not required ones", "[placement]") {
  const std::vector<GroupProgress> groups = {
      {"a", 10, false}, {"b", 90, false}, {"c", 120, true}, {"d", 40, false}};
  CHECK(DispensableGroups(groups, 3) == std::set<std::string>{"b"});
  CHECK(DispensableGroups(groups, 2) == std::set<std::string>{"b", "d"});
  CHECK(DispensableGroups(groups, 4).empty());
  CHECK(DispensableGroups(groups, 9).empty());
  CHECK(DispensableGroups(groups, 0).empty());
  // Required groups are kept even if the trainer asks for fewer.
  CHECK(DispensableGroups(groups, 1).count("c") == 0);
}

// Load pattern: one slowed and one failing engine among good ones.
TEST_CASE("items avoid slow and failing engines while others have room", "[placement]") {
  PlacementEngine slow = Engine("slow", 1);
  slow.event_ms = 100;
  PlacementEngine failing = Engine("failing", 1);
  failing.failure_share = 0.5;
  const auto placed = PlaceItems({Item(0, 20), Item(1, 20), Item(2, 20), Item(3, 20)},
                                 {slow, failing, Engine("good", 1)});
  REQUIRE(placed.size() == 4);
  for (const Placement& placement : placed) CHECK(placement.engine == "good");
}

// Load pattern: a step of many short items and a few long ones, for which the trainer waits.
TEST_CASE("a long item keeps a quarter of its engine's slots free", "[placement]") {
  PlacementEngine with_long = Engine("e", 1, 3);
  with_long.long_items = 1;
  CHECK(PlaceItems({Item(0, 10)}, {with_long}).empty());
  CHECK(PlaceItems({Item(0, kLongItemEvents)}, {with_long}).size() == 1);
  with_long.long_items = 0;
  CHECK(PlaceItems({Item(0, 10)}, {with_long}).size() == 1);
  // A long item that is placed now counts for those after it.
  CHECK(PlaceItems({Item(0, 90), Item(1, 9), Item(2, 8), Item(3, 7)}, {Engine("e", 1)}).size() ==
        3);
}

// Oracle: no engine gets more items than slots, and no item waits while a slot that it may use is
// free: any slot for a long item, three quarters of them beside a long item for the others.
TEST_CASE("random placements respect slots and leave no usable slot idle", "[placement]") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 300; ++round) {
    std::vector<PlacementEngine> engines;
    for (std::size_t i = 0; i < 1 + random() % 6; ++i) {
      engines.push_back(Engine("e" + std::to_string(i), static_cast<int64_t>(random() % 3),
                               static_cast<int>(random() % 5)));
    }
    std::vector<WaitingItem> items;
    for (std::size_t i = 0; i < random() % 20; ++i) {
      items.push_back(Item(i, static_cast<double>(random() % 100)));
    }
    const auto placed = PlaceItems(items, engines);
    std::set<std::size_t> started;
    std::map<std::string, int> running;
    std::map<std::string, bool> has_long;
    for (const PlacementEngine& engine : engines) running[engine.id] = engine.running;
    for (const Placement& placement : placed) {
      REQUIRE(started.insert(placement.key).second);
      ++running[placement.engine];
      if (items[placement.key].events_left >= kLongItemEvents) has_long[placement.engine] = true;
    }
    for (const PlacementEngine& engine : engines) {
      REQUIRE(running[engine.id] <= std::max(engine.slots, engine.running));
      if (engine.versions.at("m") < 1) {
        REQUIRE(running[engine.id] == engine.running);
        continue;
      }
      for (const WaitingItem& item : items) {
        if (started.count(item.key) != 0) continue;
        const bool shares = has_long[engine.id] && item.events_left < kLongItemEvents;
        REQUIRE(running[engine.id] >= (shares ? engine.slots * 3 / 4 : engine.slots));
      }
    }
  }
}

RunningItem Running(std::size_t key, const std::string& engine, double left) {
  RunningItem item;
  item.key = key;
  item.engine = engine;
  item.service = "model";
  item.model = "m";
  item.events_left = left;
  item.events_here = kEventsToJudge;
  return item;
}

// Load pattern: an engine turns 3.5 times slower for seconds while others are idle.
TEST_CASE("only long items leave a slow engine, and only for large gains", "[stragglers]") {
  PlacementEngine slow = Engine("slow", 1, 3);
  slow.event_ms = 100;
  const std::vector<PlacementEngine> engines = {slow, Engine("fast", 1, 2)};
  const std::vector<RunningItem> items = {Running(0, "slow", 3), Running(1, "slow", 40),
                                          Running(2, "slow", 60), Running(3, "fast", 80)};
  CHECK(PlanMoves(items, engines) == std::vector<std::size_t>{2, 1});
  // Without a free slot nothing moves, and a moved item does not wander for ever.
  CHECK(PlanMoves(items, {slow, Engine("fast", 1, 4)}).empty());
  RunningItem moved = Running(0, "slow", 60);
  moved.moves = kMaxMoves;
  CHECK(PlanMoves({moved}, engines).empty());
}

// Load pattern: a step of many items arrives, and all engines read prompts for some tens of ms.
TEST_CASE("an item that has just started is not moved for the pace of its engine", "[stragglers]") {
  PlacementEngine reading = Engine("reading", 1, 4);
  reading.event_ms = 100;
  const std::vector<PlacementEngine> engines = {reading, Engine("idle", 1)};
  RunningItem item = Running(0, "reading", 60);
  item.events_here = 0;
  item.since_event = milliseconds(100);
  CHECK(PlanMoves({item}, engines).empty());
  item.since_event = kLongSilence;
  CHECK(PlanMoves({item}, engines).size() == 1);
}

TEST_CASE("an item on a silent engine moves before its run times out", "[stragglers]") {
  RunningItem item = Running(0, "dark", 20);
  item.events_here = 0;
  item.since_event = milliseconds(400);
  CHECK(PlanMoves({item}, {Engine("dark", 1, 1), Engine("fast", 1)}).size() == 1);
}

LoadableEngine Loadable(const std::string& id, int64_t version, int running = 0) {
  LoadableEngine engine;
  engine.id = id;
  engine.versions = {{"m", version}};
  engine.running = {{"m", running}};
  engine.home = {"m"};
  return engine;
}

// Load pattern: a version every few seconds, of which the next step allows this one and the last.
TEST_CASE("useless engines load at once, the others only while idle", "[weight_plan]") {
  const std::vector<LoadableEngine> engines = {Loadable("idle", 4), Loadable("busy", 4, 2),
                                               Loadable("useless", 3, 1), Loadable("new", 5)};
  ModelDemand demand{"m", 5, 4, 0};
  CHECK(PlanLoads(engines, {demand}, 8) ==
        std::vector<PlannedLoad>{{"useless", "m", 5}, {"idle", "m", 5}});
  demand.waiting = 3;
  CHECK(PlanLoads(engines, {demand}, 8) == std::vector<PlannedLoad>{{"useless", "m", 5}});
  CHECK(PlanLoads(engines, {demand}, 0).empty());
}

TEST_CASE("loads in progress count against the limit, and none is ordered twice", "[weight_plan]") {
  std::vector<LoadableEngine> engines;
  for (int i = 0; i < 8; ++i) engines.push_back(Loadable("e" + std::to_string(i), 1));
  const ModelDemand demand{"m", 3, 2, 10};
  int loaded = 0;
  for (int round = 0; round < 8; ++round) {
    const auto loads = PlanLoads(engines, {demand}, 2);
    int busy = 0;
    for (LoadableEngine& engine : engines) {
      if (engine.busy) engine.versions["m"] = 3;
      engine.busy = false;
      for (const PlannedLoad& load : loads) engine.busy = engine.busy || load.engine == engine.id;
      busy += engine.busy ? 1 : 0;
    }
    CHECK(busy <= 2);
    loaded += static_cast<int>(loads.size());
  }
  CHECK(loaded == 8);
}

TEST_CASE("an engine loads only models that it is home to", "[weight_plan]") {
  LoadableEngine engine = Loadable("e", 1);
  engine.versions["n"] = 1;
  CHECK(PlanLoads({engine}, {ModelDemand{"n", 5, 4, 0}}, 2).empty());
}

TEST_CASE("an engine's version follows its orders, its events and its entry", "[engine_board]") {
  EngineBoard board;
  TargetPool pool;
  TargetEntry entry;
  entry.id = "e";
  entry.service = "model";
  entry.versions = {{"m", 4}};
  pool.Apply(entry, kStart);
  board.Update(pool.All(), kStart);
  board.LoadStarted("e", "m", 5, kStart);
  // The list lags: the same entry again does not end the load.
  board.Update(pool.All(), kStart + milliseconds(500));
  CHECK(board.Find("e")->loading_model == "m");
  entry.versions["m"] = 5;
  pool.Apply(entry, kStart);
  board.Update(pool.All(), kStart + seconds(1));
  CHECK(board.Find("e")->loading_model.empty());
  CHECK(board.Find("e")->versions["m"] == 5);
  // A load that never shows is given up.
  board.LoadStarted("e", "m", 6, kStart + seconds(2));
  board.Update(pool.All(), kStart + seconds(2) + EngineBoard::kLoadLimit + seconds(1));
  CHECK(board.Find("e")->loading_model.empty());
  CHECK(board.Find("e")->versions["m"] == 5);
}

// Guards against the fault of chairwatch-lakes trouble-1: a resumed text with versions 4 and 5
// whose last event was made under 4 let the engine pass for one with 5.
TEST_CASE("the version of an engine is that of the last event", "[item_text]") {
  ItemText text;
  text.Add("a", 4);
  text.Add("b", 5);
  text.Add("c", 4);
  CHECK(text.last_version == 4);
  CHECK(text.versions == std::vector<int64_t>{4, 5});
  CHECK(text.data == "a\nb\nc");
  CHECK(text.Fits(4, false));
  CHECK_FALSE(text.Fits(5, false));
  CHECK_FALSE(text.Fits(4, true));
}

TEST_CASE("the expected rest falls with each event and grows beyond the estimate", "[item_text]") {
  CHECK(ExpectedEventsLeft(20, 0, 5) == Approx(15));
  CHECK(ExpectedEventsLeft(20, 0, 100) > ExpectedEventsLeft(20, 0, 40));
  CHECK(ExpectedEventsLeft(20, 0, 20) > 0);
  // Estimates exceed the bound by several times.
  CHECK(ExpectedEventsLeft(500, 128, 28) == Approx(100));
  CHECK(ExpectedEventsLeft(20, 128, 120) == Approx(8));
  CHECK(ExpectedEventsLeft(20, 128, 129) == Approx(1));
}

TEST_CASE("texts of incomplete groups are kept for a later job, once", "[carried]") {
  OwnedJob job;
  for (int i = 0; i < 4; ++i) {
    OwnedItem item;
    item.item.id = std::to_string(i);
    item.item.group = i < 2 ? "whole" : "part";
    item.phase = i < 3 ? ItemPhase::kFinished : ItemPhase::kRunning;
    item.text.Add("x" + std::to_string(i), 1);
    job.items.push_back(item);
  }
  CarriedTexts texts;
  texts.Keep(job, kStart);
  CHECK_FALSE(texts.Take("0"));
  REQUIRE(texts.Take("2"));
  CHECK_FALSE(texts.Take("2"));
  texts.Expire(kStart + CarriedTexts::kLifetime);
  CHECK_FALSE(texts.Take("3"));
}

TargetEntry App(const std::string& id, const std::string& zone) {
  TargetEntry entry;
  entry.id = id;
  entry.service = "app";
  entry.zone = zone;
  entry.slots = 4;
  return entry;
}

// Load pattern: app targets of which one is silent, one fails part of its requests and one is full.
TEST_CASE("requests go to the target that is expected to answer first", "[target_choice]") {
  TargetPool pool;
  for (const char* id : {"a", "b", "c", "d"}) pool.Apply(App(id, "z"), kStart);
  for (int i = 0; i < 6; ++i) {
    pool.Started("a");
    pool.Finished("a", i % 2 == 0 ? TargetOutcome::kFailed : TargetOutcome::kServed,
                  milliseconds(30), kStart);
  }
  pool.Started("b");
  pool.Finished("b", TargetOutcome::kSilent, milliseconds(300), kStart);
  pool.Reported("c", LoadReport{4, 6, 4, 1}, kStart);
  ChoiceContext context;
  context.zone = "z";
  CHECK(ChooseTarget(pool.OfService("app"), context, kStart)->entry.id == "d");
  context.excluded = {"d"};
  CHECK(ChooseTarget(pool.OfService("app"), context, kStart) != nullptr);
  context.excluded = {"a", "b", "c", "d"};
  CHECK(ChooseTarget(pool.OfService("app"), context, kStart) == nullptr);
  // Troubles fade: a minute later all are equal.
  const TimePoint later = kStart + seconds(60);
  context.excluded.clear();
  const Duration fresh = ExpectedLatency(*pool.Find("d"), context, later);
  for (const char* id : {"a", "b", "c"}) {
    CHECK(ToMillis(ExpectedLatency(*pool.Find(id), context, later) - fresh) < 20);
  }
}

TEST_CASE("a target in the caller's zone is preferred until it is busy", "[target_choice]") {
  TargetPool pool;
  pool.Apply(App("far", "y"), kStart);
  pool.Apply(App("near", "z"), kStart);
  ChoiceContext context;
  context.zone = "z";
  CHECK(ChooseTarget(pool.OfService("app"), context, kStart)->entry.id == "near");
  for (int i = 0; i < 6; ++i) pool.Started("near");
  CHECK(ChooseTarget(pool.OfService("app"), context, kStart)->entry.id == "far");
}

TEST_CASE("targets leave at once, or after the grace of an outage", "[target_pool]") {
  TargetPool pool;
  pool.Apply(App("a", "z"), kStart);
  pool.Apply(App("b", "z"), kStart);
  pool.Remove("a", kStart, Duration::zero());
  CHECK(pool.Find("a") == nullptr);
  pool.Replace({}, kStart, seconds(2));
  pool.Expire(kStart + milliseconds(1900));
  CHECK(pool.Find("b") != nullptr);
  pool.Apply(App("b", "z"), kStart + milliseconds(1950));
  pool.Expire(kStart + seconds(3));
  CHECK(pool.Find("b") != nullptr);
  TargetEntry draining = App("b", "z");
  draining.draining = true;
  pool.Apply(draining, kStart + seconds(4));
  CHECK(pool.OfService("app").empty());
}

TEST_CASE("a new start of a target has no history", "[target_pool]") {
  TargetPool pool;
  pool.Apply(App("a", "z"), kStart);
  pool.Started("a");
  pool.Finished("a", TargetOutcome::kFailed, milliseconds(1), kStart);
  TargetEntry restarted = App("a", "z");
  restarted.started_at = 5;
  pool.Apply(restarted, kStart);
  CHECK(FailureShare(*pool.Find("a"), kStart) < 0.05);
}

TEST_CASE("a lease is taken from a silent holder, at once if it is free or our own", "[lease]") {
  LeaseView view;
  const BootTime now = seconds(100);
  CHECK_FALSE(MayTake(view, "me", now, seconds(1)));  // nothing has been read
  view = Observe(view, OwnerRecord{"you", 1, 0}, 7, now);
  CHECK_FALSE(MayTake(view, "me", now + milliseconds(900), seconds(1)));
  view = Observe(view, OwnerRecord{"you", 1, 1}, 8, now + milliseconds(900));
  CHECK_FALSE(MayTake(view, "me", now + milliseconds(1800), seconds(1)));
  CHECK(MayTake(view, "me", now + milliseconds(1900), seconds(1)));
  CHECK(MayTake(Observe(view, OwnerRecord{"me", 2, 0}, 9, now), "me", now, seconds(1)));
  CHECK(MayTake(Observe(view, OwnerRecord{}, 10, now), "me", now, seconds(1)));
  // After an outage of the store the holder's silence is counted anew.
  view.read = false;
  view = Observe(view, OwnerRecord{"you", 1, 1}, 8, now + seconds(60));
  CHECK_FALSE(MayTake(view, "me", now + seconds(60), seconds(1)));
}

TEST_CASE("a successor gives no order while the former holder may", "[lease]") {
  HeldLease lease;
  lease.fencing = 5;
  lease.orders_from = seconds(102);
  lease.valid_until = seconds(104);
  CHECK(lease.ValidAt(seconds(101)));
  CHECK_FALSE(lease.MayOrderAt(seconds(101)));
  CHECK(lease.MayOrderAt(seconds(103)));
  CHECK_FALSE(lease.ValidAt(seconds(104)));
}

FrontRecord Front(const std::string& id, const std::string& zone, StoreMillis renewed_at) {
  FrontRecord front;
  front.instance = id;
  front.zone = zone;
  front.address = id + ":1";
  front.renewed_at = renewed_at;
  return front;
}

TEST_CASE("callers get live instances, those of their zone first", "[directory]") {
  std::vector<FrontRecord> rows = {Front("a", "x", 9000), Front("b", "y", 9500),
                                   Front("dead", "y", 5000), Front("leaving", "y", 9900)};
  rows.back().leaving = true;
  const auto live = LiveFronts(rows, 10000, 2600);
  REQUIRE(live.size() == 2);
  CHECK(AddressesFor(live, "y", 64) == std::vector<std::string>{"b:1", "a:1"});
  CHECK(AddressesFor(live, "y", 1) == std::vector<std::string>{"b:1"});
  // The rows' partition takes 200 writes a second.
  for (const std::size_t fronts : {1, 12, 71, 383, 2000}) {
    const double period_s = std::chrono::duration<double>(RenewalPeriod(fronts)).count();
    CHECK(static_cast<double>(fronts) / period_s <= 120);
  }
}

TEST_CASE("the route with the longest prefix wins", "[route_table]") {
  const auto route = [](const std::string& name, const std::string& prefix) {
    ServiceRoute made;
    made.name = name;
    made.host = "h";
    made.prefix = prefix;
    return made;
  };
  const RouteTable table = RouteTable::Builder()
                               .SetVersion(3)
                               .AddRoute(route("short", "/a/"))
                               .AddRoute(route("long", "/a/b/"))
                               .Build();
  CHECK(table.Match("h", "/a/b/c")->name == "long");
  CHECK(table.Match("h:80", "/a/bc")->name == "short");
  CHECK(table.Match("h", "/a") == nullptr);
  CHECK(table.Match("other", "/a/b/c") == nullptr);
  CHECK(table.Match("h", "") == nullptr);
}

TEST_CASE("jobs and results survive the store, also beyond one row", "[batch_records]") {
  BatchHead head;
  head.id = "j";
  head.host = "h";
  head.model = "m";
  head.step = 4;
  head.total = 2;
  head.submitted_at = 99;
  CHECK(DecodeHead("j", EncodeHead(head)) == head);
  std::vector<BatchItem> items(40);
  for (std::size_t i = 0; i < items.size(); ++i) {
    items[i].id = std::to_string(i);
    items[i].headers = {{"X-A", "1"}, {"X-B", std::string("\0\xff", 2)}};
    items[i].body = std::string(5000, static_cast<char>(i));
    if (i % 2 == 0) items[i].score = ScoreRequest{"s", "h", "/p", "b"};
  }
  const auto parts = EncodeItems(items);
  REQUIRE(parts);
  CHECK(parts->size() > 1);
  std::vector<BatchItem> read;
  for (const std::string& part : *parts) {
    CHECK(part.size() <= kMaxRowBytes);
    const auto decoded = DecodeItems(part);
    REQUIRE(decoded);
    read.insert(read.end(), decoded->begin(), decoded->end());
  }
  CHECK(read == items);
  ItemText text;
  text.Add("one", 3);
  text.Add("two", 4);
  CHECK(DecodeText(*EncodeText(text)) == text);
  text.Add(std::string(kMaxRowBytes, 'x'), 4);
  CHECK_FALSE(EncodeText(text));
  ItemResult result;
  result.item_id = "1";
  result.completed = true;
  result.text = std::string(150000, 'x');
  result.versions = {3, 4};
  result.score = "sig";
  ResultDecoder decoder;
  const auto rows = EncodeResult(result);
  REQUIRE(rows.size() == 3);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    CHECK(rows[i].size() <= kMaxRowBytes);
    const auto added = decoder.Add(rows[i]);
    REQUIRE(added);
    CHECK(added->has_value() == (i == 2));
    if (*added) CHECK(**added == result);
  }
  CHECK(ResultPosition(ResultRow("j", 17).key) == 17);
}

}  // namespace
}  // namespace anvilcroft
