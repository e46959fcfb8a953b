// Tests the plan of weight loads and the tracked state of engines.

#include "anvilcroft/weight_plan.h"

#include <catch2/catch.hpp>

#include "anvilcroft/engine_tracker.h"

namespace anvilcroft {
namespace {

const TimePoint kStart = TimePoint() + seconds(1000);

LoadableEngine Loadable(const std::string& id, int64_t version, int running = 0) {
  LoadableEngine engine;
  engine.id = id;
  engine.versions = {{"m", version}};
  engine.running = {{"m", running}};
  engine.assigned_models = {"m"};
  return engine;
}

// Load pattern: the trainer names a version every few seconds, and its next step allows that
// version and the one before.
TEST_CASE("engines that the next step cannot use load at once, the others only while idle",
          "[weight_plan]") {
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

TEST_CASE("an engine loads only its assigned models", "[weight_plan]") {
  LoadableEngine engine = Loadable("e", 1);
  engine.versions["n"] = 1;
  CHECK(PlanLoads({engine}, {ModelDemand{"n", 5, 4, 0}}, 2).empty());
}

TEST_CASE("an engine's version follows its orders and its entry in the list", "[engine_tracker]") {
  EngineTracker tracker;
  TargetPool pool;
  TargetEntry entry;
  entry.id = "e";
  entry.service = "model";
  entry.versions = {{"m", 4}};
  pool.Apply(entry, kStart);
  tracker.Update(pool.All(), kStart);
  tracker.RecordLoadStarted("e", "m", 5, kStart);
  // A list that lags shows the same entry again, which does not end the load.
  tracker.Update(pool.All(), kStart + milliseconds(500));
  CHECK(tracker.Find("e")->loading_model == "m");
  entry.versions["m"] = 5;
  pool.Apply(entry, kStart);
  tracker.Update(pool.All(), kStart + seconds(1));
  CHECK(tracker.Find("e")->loading_model.empty());
  CHECK(tracker.Find("e")->versions["m"] == 5);
  // A load that the list never shows as complete is considered failed.
  tracker.RecordLoadStarted("e", "m", 6, kStart + seconds(2));
  tracker.Update(pool.All(), kStart + seconds(2) + EngineTracker::kLoadLimit + seconds(1));
  CHECK(tracker.Find("e")->loading_model.empty());
  CHECK(tracker.Find("e")->versions["m"] == 5);
}

}  // namespace
}  // namespace anvilcroft
