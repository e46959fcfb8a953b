// Tests the placement of waiting items and the moves of running ones. Each test replays the load or
// the fault that it guards against.

#include "anvilcroft/item_placement.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "anvilcroft/dispensable_groups.h"
#include "anvilcroft/straggler_plan.h"

namespace anvilcroft {
namespace {

TrafficSplit OneService() { return TrafficSplit::Builder().Add("model").Build(); }

// Places items of a route with one service.
std::vector<Placement> Place(std::vector<WaitingItem> items, std::vector<PlacementEngine> engines) {
  return PlaceItems(std::move(items), std::move(engines), {{OneService(), {}}}).placements;
}

PlacementEngine Engine(const std::string& id, int64_t version, int running = 0) {
  PlacementEngine engine;
  engine.id = id;
  engine.service = "model";
  engine.slots = 4;
  engine.running = running;
  engine.versions = {{"m", version}};
  return engine;
}

WaitingItem Item(std::size_t key, double events, ItemRank rank = ItemRank::kNormal) {
  WaitingItem item;
  item.key = key;
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
  const auto placed = Place(items, {Engine("e", 1)});
  REQUIRE(placed.size() == 4);
  std::vector<std::size_t> order;
  for (const Placement& placement : placed) order.push_back(placement.key);
  CHECK(order == std::vector<std::size_t>{3, 2, 4, 0});
}

// Guards against items that wait for an engine which limits its requests while another one is free,
// and against moves to such an engine that cost more than they gain.
TEST_CASE("an engine that takes the next request later is chosen for what it costs",
          "[placement]") {
  PlacementEngine limited = Engine("limited", 1);
  limited.permit_wait = milliseconds(700);
  PlacementEngine other = Engine("other", 1, 3);
  const auto placed = Place({Item(0, 10), Item(1, 10)}, {limited, other});
  REQUIRE(placed.size() == 2);
  CHECK(placed[0].engine == "other");
  CHECK(placed[1].engine == "limited");
}

// Guards against texts that are continued by another version of the software, and against items
// that wait for an engine of their own version however long it takes.
TEST_CASE("a text is continued by its software version or started anew", "[placement]") {
  PlacementEngine same = Engine("same", 1);
  same.software = "v1";
  PlacementEngine other = Engine("other", 1);
  other.software = "v2";
  WaitingItem item = Item(0, 10);
  item.software = "v1";
  item.events_done = 15;
  auto placed = Place({item}, {other, same});
  REQUIRE(placed.size() == 1);
  CHECK(placed[0].engine == "same");
  CHECK_FALSE(placed[0].anew);
  same.running = same.slots;
  placed = Place({item}, {other, same});
  REQUIRE(placed.size() == 1);
  CHECK(placed[0].engine == "other");
  CHECK(placed[0].anew);
  // A running item is not moved to the other version, which would start anew.
  RunningItem running;
  running.engine = "slow";
  running.services = OneService();
  running.model = "m";
  running.software = "v1";
  running.events_left = 60;
  running.events_here = 10;
  PlacementEngine slow = Engine("slow", 1);
  slow.software = "v1";
  slow.pace = {300, 300, 5000};
  CHECK(PlanMoves({running}, {slow, other}).empty());
  same.running = 0;
  CHECK(PlanMoves({running}, {slow, other, same}).size() == 1);
}

TEST_CASE("items run only where the version is allowed and not being loaded", "[placement]") {
  PlacementEngine old = Engine("old", 1);
  PlacementEngine loading = Engine("loading", 3);
  loading.loading = {"m"};
  PlacementEngine good = Engine("good", 2, 3);
  WaitingItem item = Item(0, 10);
  item.min_version = 2;
  const auto placed = Place({item, item}, {old, loading, good});
  REQUIRE(placed.size() == 1);
  CHECK(placed[0].engine == "good");
  CHECK(placed[0].version == 2);
  item.only_version = 3;
  CHECK(Place({item}, {old, loading, good}).empty());
}

// Load pattern: a step of which the trainer waits for 90% of the groups.
TEST_CASE("the groups that would finish last are dispensable, unless required", "[placement]") {
  const std::vector<GroupProgress> groups = {
      {"a", 10, false}, {"b", 90, false}, {"c", 120, true}, {"d", 40, false}};
  CHECK(DispensableGroups(groups, 3) == std::set<std::string>{"b"});
  CHECK(DispensableGroups(groups, 2) == std::set<std::string>{"b", "d"});
  CHECK(DispensableGroups(groups, 4).empty());
  CHECK(DispensableGroups(groups, 9).empty());
  CHECK(DispensableGroups(groups, 0).empty());
  // A required group is never dispensable, even if the trainer asks for fewer groups.
  CHECK(DispensableGroups(groups, 1).count("c") == 0);
}

// Load pattern: one slowed and one failing engine among good ones.
TEST_CASE("items avoid slow and failing engines while others have free slots", "[placement]") {
  PlacementEngine slow = Engine("slow", 1);
  slow.pace.event_ms = 100;
  PlacementEngine failing = Engine("failing", 1);
  failing.failure_share = 0.5;
  const auto placed = Place({Item(0, 20), Item(1, 20), Item(2, 20), Item(3, 20)},
                            {slow, failing, Engine("good", 1)});
  REQUIRE(placed.size() == 4);
  for (const Placement& placement : placed) CHECK(placement.engine == "good");
}

// Load pattern: a step of many short items and a few long ones, for which the trainer waits.
TEST_CASE("short items leave a quarter of the slots free beside a long item", "[placement]") {
  PlacementEngine with_long = Engine("e", 1, 3);
  with_long.long_items = 1;
  CHECK(Place({Item(0, 10)}, {with_long}).empty());
  CHECK(Place({Item(0, kLongItemEvents)}, {with_long}).size() == 1);
  with_long.long_items = 0;
  CHECK(Place({Item(0, 10)}, {with_long}).size() == 1);
  // A long item that is placed in this call counts for the items placed after it.
  CHECK(Place({Item(0, 90), Item(1, 9), Item(2, 8), Item(3, 7)}, {Engine("e", 1)}).size() == 3);
}

// Oracle: no engine gets more items than slots, and no item waits while a slot that it may use is
// free. A long item may use any slot, a short one three quarters of the slots beside a long item.
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
    const auto placed = Place(items, engines);
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
  item.services = OneService();
  item.model = "m";
  item.events_left = left;
  item.events_here = kMinEventsBeforeMove;
  return item;
}

// Load pattern: an engine becomes 3.5 times slower for seconds while others are idle.
TEST_CASE("only long items leave a slow engine, and only for large gains", "[stragglers]") {
  PlacementEngine slow = Engine("slow", 1, 3);
  slow.pace.event_ms = 100;
  const std::vector<PlacementEngine> engines = {slow, Engine("fast", 1, 2)};
  const std::vector<RunningItem> items = {Running(0, "slow", 3), Running(1, "slow", 40),
                                          Running(2, "slow", 60), Running(3, "fast", 80)};
  CHECK(PlanMoves(items, engines) == std::vector<std::size_t>{2, 1});
  // Nothing moves without a free slot, and an item moves at most kMaxMoves times.
  CHECK(PlanMoves(items, {slow, Engine("fast", 1, 4)}).empty());
  RunningItem moved = Running(0, "slow", 60);
  moved.moves = kMaxMoves;
  CHECK(PlanMoves({moved}, engines).empty());
}

// Load pattern: a step of many items arrives, and all engines process prompts for some tens of ms.
TEST_CASE("an item that has just started is not moved off a slow engine", "[stragglers]") {
  PlacementEngine reading = Engine("reading", 1, 4);
  reading.pace.event_ms = 100;
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

// Load pattern: two trainers share the engines, and a burst of the less urgent one is already
// waiting when the step of the other arrives.
TEST_CASE("items of the more urgent route start first", "[placement]") {
  std::vector<WaitingItem> items = {Item(0, 90, ItemRank::kRequired), Item(1, 9),
                                    Item(2, 50, ItemRank::kDispensable)};
  items[0].priority = 1;
  items.push_back(Item(3, 20, ItemRank::kDispensable));
  items[3].priority = 1;
  const auto placed = Place(items, {Engine("e", 1, 2)});
  REQUIRE(placed.size() == 2);
  CHECK(placed[0].key == 1);  // urgent and needed
  CHECK(placed[1].key == 0);  // needed, before those that the trainers can do without
}

}  // namespace
}  // namespace anvilcroft
