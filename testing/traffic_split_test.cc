// Tests routes that divide their requests among several services: the split itself, and what runs
// batch items by it.

#include "anvilcroft/traffic_split.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "anvilcroft/fleet/slice_view.h"
#include "anvilcroft/item_placement.h"
#include "anvilcroft/sharing/service_pools.h"
#include "anvilcroft/straggler_plan.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

TrafficSplit Split(double a, double b) {
  return TrafficSplit::Builder().Add("a", a).Add("b", b).Build();
}

PlacementEngine Engine(const std::string& id, const std::string& service, int slots,
                       int running = 0) {
  PlacementEngine engine;
  engine.id = id;
  engine.service = service;
  engine.slots = slots;
  engine.running = running;
  engine.versions = {{"m", 1}};
  return engine;
}

std::vector<WaitingItem> Items(std::size_t count) {
  std::vector<WaitingItem> items(count);
  for (std::size_t i = 0; i < count; ++i) {
    items[i].key = i;
    items[i].model = "m";
    items[i].min_version = 1;
    items[i].events_left = 10;
  }
  return items;
}

std::vector<Placement> Place(const std::vector<WaitingItem>& items,
                             const std::vector<PlacementEngine>& engines,
                             const std::vector<PlacementRoute>& routes) {
  return PlaceItems(items, engines, routes).placements;
}

// Number of placements by service.
std::map<std::string, int> Count(const std::vector<Placement>& placements,
                                 const std::vector<PlacementEngine>& engines) {
  std::map<std::string, int> counts;
  for (const Placement& placement : placements) {
    for (const PlacementEngine& engine : engines) {
      if (engine.id == placement.engine) ++counts[engine.service];
    }
  }
  return counts;
}

TEST_CASE("a service with weight 0 is part of a split but gets no requests", "[split]") {
  const TrafficSplit split = Split(0, 3);
  CHECK(split.All().size() == 2);
  REQUIRE(split.Active().size() == 1);
  CHECK(split.Active().front().service == "b");
  CHECK_FALSE(split.Includes("a"));
  CHECK_FALSE(split.Includes("c"));
  CHECK(split.ShareOf("b") == 1);
  CHECK(Split(1, 3).ShareOf("b") == 0.75);
  CHECK(Split(1, 3).Mean([](const std::string& name) { return name == "a" ? 4 : 8; }) == 7);
  CHECK(TrafficSplit().Mean([](const std::string&) { return 1; }) == 0);
  CHECK(split == Split(0, 3));
  CHECK(split != Split(3, 0));
  CHECK(TrafficSplit() == TrafficSplit::Builder().Build());
}

// Guards against items that wait for the first service of a split while engines of the others are
// idle, and against items at a service with weight 0.
TEST_CASE("items of a split route use the free engines of all its services", "[split]") {
  std::vector<PlacementEngine> engines = {Engine("a1", "a", 6)};
  for (int i = 0; i < 6; ++i) engines.push_back(Engine("b" + std::to_string(i), "b", 6));
  auto placed = Place(Items(100), engines, {{Split(10, 90), {}}});
  CHECK(placed.size() == 42);
  CHECK(Count(placed, engines) == std::map<std::string, int>{{"a", 6}, {"b", 36}});
  placed = Place(Items(100), engines, {{Split(90, 10), {}}});
  CHECK(placed.size() == 42);
  placed = Place(Items(100), engines, {{Split(0, 10), {}}});
  CHECK(Count(placed, engines) == std::map<std::string, int>{{"b", 36}});
  placed = Place(Items(100), engines, {{Split(10, 0), {}}});
  CHECK(Count(placed, engines) == std::map<std::string, int>{{"a", 6}});
  CHECK(Place(Items(100), engines, {{Split(0, 0), {}}}).empty());
}

// Guards against shares that differ from the weights although every service has room.
TEST_CASE("items are divided by the weights while all services have free engines", "[split]") {
  const std::vector<PlacementEngine> engines = {Engine("a1", "a", 100), Engine("b1", "b", 100)};
  auto placed = Place(Items(20), engines, {{Split(1, 3), {}}});
  CHECK(Count(placed, engines) == std::map<std::string, int>{{"a", 5}, {"b", 15}});
  // The items that run already count.
  placed = Place(Items(20), engines, {{Split(1, 3), {{"a", 10}}}});
  CHECK(Count(placed, engines) == std::map<std::string, int>{{"b", 20}});
}

// Guards against an item that is sent to an engine which has just failed it, for the sake of the
// weights.
TEST_CASE("an item avoids the engine that failed it although its service has a share", "[split]") {
  std::vector<WaitingItem> items = Items(1);
  items[0].avoid = {"a1"};
  const std::vector<PlacementEngine> engines = {Engine("a1", "a", 4), Engine("b1", "b", 4)};
  const auto placed = Place(items, engines, {{Split(99, 1), {}}});
  REQUIRE(placed.size() == 1);
  CHECK(placed[0].engine == "b1");
}

// Oracle: no item waits while an engine of a service with a positive weight has a free slot.
TEST_CASE("random splits leave no usable slot idle", "[split]") {
  std::mt19937_64 random(11);
  for (int round = 0; round < 300; ++round) {
    TrafficSplit::Builder builder;
    std::set<std::string> active;
    std::vector<PlacementEngine> engines;
    for (int service = 0; service < 3; ++service) {
      const std::string name(1, static_cast<char>('a' + service));
      const auto weight = static_cast<double>(random() % 3);
      builder.Add(name, weight);
      if (weight > 0) active.insert(name);
      for (std::size_t i = 0; i < random() % 3; ++i) {
        engines.push_back(
            Engine(name + std::to_string(i), name, 4, static_cast<int>(random() % 5)));
      }
    }
    const std::size_t count = random() % 20;
    const auto placed = Place(Items(count), engines, {{builder.Build(), {}}});
    int free = 0;
    std::map<std::string, int> running;
    for (const PlacementEngine& engine : engines) {
      running[engine.id] = engine.running;
      if (active.count(engine.service) != 0) free += engine.slots - engine.running;
    }
    REQUIRE(static_cast<int>(placed.size()) == std::min(free, static_cast<int>(count)));
    for (const Placement& placement : placed) ++running[placement.engine];
    for (const PlacementEngine& engine : engines) {
      REQUIRE(running[engine.id] <= 4);
      if (active.count(engine.service) == 0) REQUIRE(running[engine.id] == engine.running);
    }
  }
}

// Guards against stragglers that stay on a slow engine although another service of the route has a
// fast one.
TEST_CASE("a straggler moves to any service of its route with a share", "[split]") {
  RunningItem item;
  item.engine = "slow";
  item.services = Split(1, 1);
  item.model = "m";
  item.min_version = 1;
  item.events_left = 60;
  item.events_here = 10;
  PlacementEngine slow = Engine("slow", "a", 4, 1);
  slow.pace.event_ms = 200;
  CHECK(PlanMoves({item}, {slow, Engine("b1", "b", 4)}).size() == 1);
  item.services = Split(1, 0);
  CHECK(PlanMoves({item}, {slow, Engine("b1", "b", 4)}).empty());
}

// Guards against steps that are planned as if the services of a split had nothing to do with each
// other.
TEST_CASE("services of one split form a pool", "[split]") {
  ServicePools pools;
  const auto split = [](const std::string& a, const std::string& b) {
    return TrafficSplit::Builder().Add(a).Add(b).Add("unused", 0).Build();
  };
  pools.Join(split("a", "b"));
  pools.Join(split("c", "d"));
  CHECK(pools.PoolOf("a") == pools.PoolOf("b"));
  CHECK(pools.PoolOf("a") != pools.PoolOf("c"));
  CHECK(pools.PoolOf("unused") == "unused");
  pools.Join(split("d", "b"));
  CHECK(pools.PoolOf("a") == pools.PoolOf("c"));
  CHECK(pools.PoolOf(split("c", "d")) == pools.PoolOf("b"));
  CHECK(pools.PoolOf(TrafficSplit()).empty());
}

// The rollout route divided between "model" and a service "other".
std::string SplitConfiguration(int64_t version, double model, double other) {
  json config = PlatformFixture::Configuration(version);
  json services = config["Services"];
  for (const json& service : services) {
    if (service["Name"] != "model") continue;
    json added = service;
    added["Name"] = "other";
    config["Services"].push_back(added);
  }
  for (json& route : config["Routes"]) {
    if (route["Name"] != "rollout") continue;
    route.erase("Service");
    route["TrafficSplit"] = json::array(
        {{{"Service", "other"}, {"Weight", other}}, {{"Service", "model"}, {"Weight", model}}});
  }
  return config.dump();
}

// Guards against a batch job that waits for the first service of its split route, which has no
// engine, or one that is full, while the engines of the other service are idle (review/6), and
// against items at a service with weight 0.
TEST_CASE("a batch job on a split route is run by all its services", "[split]") {
  PlatformFixture fixture;
  fakes::PlatformEngine& one = fixture.AddEngine("i-1");
  one.event_time = milliseconds(40);
  fakes::PlatformEngine other(fixture.runtime, "i-2", "m");
  REQUIRE(other.Start());
  other.event_time = milliseconds(40);
  fixture.store.Put("op", "config", SplitConfiguration(4, 90, 10));
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const auto submit = [&](const std::string& job, const std::string& prefix) {
      const auto accepted = fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/s", job,
                                         PlatformFixture::Step(prefix, 8));
      REQUIRE(accepted);
      CHECK(accepted->Status() == 202);
      const json page = fixture.AwaitResults(task, instance.FrontAddress(), job, 16);
      for (const json& result : page["Results"]) {
        CHECK(result["State"] == "completed");
        CHECK(result.value("Text", "") == fakes::PlatformEngine::TextOf(result["Id"], 6));
      }
    };
    // The first service of the split has no engine.
    submit("job1", "a");
    CHECK(one.started.size() == 16);
    // Both have one, with fewer slots than items.
    fixture.store.Put("servers", "i-2", other.RegistrationEntry("other", "a"));
    SleepUntil(task, SteadyNow() + milliseconds(300));
    submit("job2", "b");
    CHECK(one.started.size() >= 16 + 4);
    CHECK(other.started.size() >= 4);
    // The first one has weight 0.
    fixture.store.Put("op", "config", SplitConfiguration(5, 1, 0));
    SleepUntil(task, SteadyNow() + milliseconds(300));
    const std::size_t before = other.started.size();
    submit("job3", "c");
    CHECK(other.started.size() == before);
  });
}

// Guards against engines that no owner has because only the first service of a split route counts
// for the slices.
TEST_CASE("the slice plan covers all services of a split route", "[split]") {
  PlatformFixture fixture;
  fixture.engines_per_slice = 2;
  fixture.AddEngine("i-1");
  std::vector<std::unique_ptr<fakes::PlatformEngine>> others;
  for (int i = 0; i < 5; ++i) {
    const std::string id = "i-other-" + std::to_string(i);
    others.push_back(std::make_unique<fakes::PlatformEngine>(fixture.runtime, id, "m"));
    REQUIRE(others.back()->Start());
    fixture.store.Put("servers", id, others.back()->RegistrationEntry("other", "a"));
  }
  fixture.store.Put("op", "config", SplitConfiguration(4, 90, 10));
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.Await(task, "a plan with slices for both services", [&] {
      const auto plan = DecodePlan(fixture.store.Value(SliceView::Row()));
      return plan && plan->Sliced() && plan->families.size() == 1 &&
             plan->families.front().services == std::set<std::string>{"model", "other"};
    });
  });
}

}  // namespace
}  // namespace anvilcroft
