// Tests texts that must be of one weight version when engines with that version are lost, silent or
// loading another one.

#include "anvilcroft/text_restart.h"

#include <catch2/catch.hpp>

#include "anvilcroft/item_placement.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

PlacementEngine Engine(const std::string& id, int64_t version) {
  PlacementEngine engine;
  engine.id = id;
  engine.service = "model";
  engine.slots = 4;
  engine.versions = {{"m", version}};
  return engine;
}

// An item with a text of version 1, which must stay of one version.
WaitingItem BoundItem(bool may_restart) {
  WaitingItem item;
  item.model = "m";
  item.min_version = 1;
  item.only_version = 1;
  item.events_done = 20;
  item.events_left = 30;
  item.may_restart = may_restart;
  return item;
}

PlacementPlan Place(const WaitingItem& item, const std::vector<PlacementEngine>& engines) {
  return PlaceItems({item}, engines,
                    {{TrafficSplit::Builder().Add("model").Build(), std::map<std::string, int>()}});
}

TEST_CASE("a text of one version is held or started anew where its version is missing",
          "[text_restart]") {
  const PlacementPlan held = Place(BoundItem(false), {Engine("new", 2)});
  CHECK(held.placements.empty());
  CHECK(held.held == std::vector<std::size_t>{0});
  const PlacementPlan anew = Place(BoundItem(true), {Engine("new", 2)});
  REQUIRE(anew.placements.size() == 1);
  CHECK(anew.placements[0].anew);
  CHECK(anew.placements[0].version == 2);
  CHECK(anew.held.empty());
  // The text goes on where it can.
  const PlacementPlan both = Place(BoundItem(true), {Engine("new", 2), Engine("old", 1)});
  REQUIRE(both.placements.size() == 1);
  CHECK(both.placements[0].engine == "old");
  CHECK_FALSE(both.placements[0].anew);
  // An item that waits for a slot, or for a version that its job allows, is not held.
  PlacementEngine full = Engine("full", 2);
  full.running = full.slots;
  CHECK(Place(BoundItem(false), {full}).held.empty());
  WaitingItem newer = BoundItem(false);
  newer.min_version = 3;
  CHECK(Place(newer, {Engine("new", 2)}).held.empty());
}

TEST_CASE("engines that leave or load another version do not have the version of a text again",
          "[text_restart]") {
  EngineState engine;
  engine.versions = {{"m", 1}};
  PoolTarget target;
  CHECK(MayHaveVersion(engine, &target, "m", 1));
  CHECK_FALSE(MayHaveVersion(engine, &target, "m", 2));
  CHECK_FALSE(MayHaveVersion(engine, nullptr, "m", 1));
  // An entry may be missing for a moment around an outage of the store.
  target.removal_at = TimePoint() + seconds(1);
  CHECK(MayHaveVersion(engine, &target, "m", 1));
  engine.loading_model = "m";
  engine.loading_version = 2;
  CHECK_FALSE(MayHaveVersion(engine, &target, "m", 1));
  engine.loading_model = "other";
  CHECK(MayHaveVersion(engine, &target, "m", 1));
  engine.loading_model.clear();
  target.says_leaving = true;
  CHECK_FALSE(MayHaveVersion(engine, &target, "m", 1));
  target.says_leaving = false;
  // A new owner may not know the version of an engine yet.
  engine.versions.clear();
  CHECK(MayHaveVersion(engine, &target, "m", 1));
}

TEST_CASE("a wait for a version is at most as long as the text takes, and bounded",
          "[text_restart]") {
  CHECK(ShouldRestartText(false, Duration::zero(), seconds(60)));
  CHECK_FALSE(ShouldRestartText(true, milliseconds(900), seconds(1)));
  CHECK(ShouldRestartText(true, seconds(1), seconds(1)));
  CHECK_FALSE(ShouldRestartText(true, milliseconds(2900), seconds(60)));
  CHECK(ShouldRestartText(true, kMaxVersionWait, seconds(60)));
}

// A route whose texts must be of one version, and two engines with slow events.
class SingleVersionFixture : public PlatformFixture {
 public:
  SingleVersionFixture() {
    this->PutConfiguration(4, true);
    for (const char* id : {"i-1", "i-2"}) {
      fakes::PlatformEngine& engine = this->AddEngine(id);
      engine.event_time = milliseconds(50);
      engine.events_per_item = 30;
    }
  }

  void PutConfiguration(int64_t version, bool single) {
    json config = Configuration(version);
    for (json& route : config["Routes"]) {
      if (route["Name"] == "rollout") route["SingleVersion"] = single;
    }
    this->store.Put("op", "config", config.dump());
  }

  void Submit(Task& task, const std::string& job, int groups = 1) {
    const auto accepted = this->Send(task, this->instances.front()->FrontAddress(), "POST",
                                     "/rollout/s", job, Step("x", groups));
    REQUIRE(accepted);
    CHECK(accepted->Status() == 202);
  }

  // Runs `body` once both engines run items of the job "job1" of `groups` groups, which have
  // several events by then.
  void RunStep(int groups, const std::function<void(Task&, FrontInstance&)>& body) {
    FrontInstance& instance = this->AddInstance("one");
    this->Run([&](Task& task) {
      this->AwaitReady(task, instance);
      this->Submit(task, "job1", groups);
      this->Await(task, "both engines run items", [&] {
        return !this->engines[0]->started.empty() && !this->engines[1]->started.empty();
      });
      SleepUntil(task, SteadyNow() + milliseconds(400));
      body(task, instance);
    });
  }

  // Waits for all results of a job of `count` items and checks that they are whole and of one
  // version each.
  json CheckResults(Task& task, const std::string& job, std::size_t count) {
    const json page = this->AwaitResults(task, this->instances.front()->FrontAddress(), job, count);
    for (const json& result : page["Results"]) {
      CHECK(result["State"] == "completed");
      CHECK(result.value("Text", "") == fakes::PlatformEngine::TextOf(result["Id"], 30));
      CHECK(result.value("Versions", json::array()).size() == 1);
    }
    return page;
  }
};

// Guards against an item that waits for ever for an engine with the version of its text once the
// last one is lost (review/7).
TEST_CASE("a text of one version is started anew when its last engine is lost", "[text_restart]") {
  const bool removed = GENERATE(false, true);  // whether its entry is removed
  SingleVersionFixture fixture;
  fixture.RunStep(1, [&](Task& task, FrontInstance& /*instance*/) {
    // The other engine's item ends with it; both texts need version 1.
    fixture.engines[0]->version = 2;
    fixture.store.Put("servers", "i-1", fixture.engines[0]->RegistrationEntry("model", "a"));
    fixture.engines[1]->Server().Crash();
    if (removed) fixture.store.Remove("servers", "i-2");
    const json page = fixture.CheckResults(task, "job1", 2);
    int of_new_version = 0;
    for (const json& result : page["Results"]) {
      of_new_version += result.value("Versions", json::array()) == json::array({2}) ? 1 : 0;
    }
    CHECK(of_new_version >= 1);
  });
}

// Guards against items of a carried group that wait for ever once all engines have the next
// version.
TEST_CASE("a carried text of one version is started anew once all engines have the next one",
          "[text_restart]") {
  SingleVersionFixture fixture;
  fixture.RunStep(1, [&](Task& task, FrontInstance& instance) {
    const auto ended =
        fixture.Send(task, instance.FrontAddress(), "DELETE", "/api/lots/job1", "end");
    REQUIRE(ended);
    fixture.store.Put("op", "version/m", R"({"Model":"m","Version":2})");
    fixture.Await(task, "both engines have loaded", [&] {
      return fixture.engines[0]->version == 2 && fixture.engines[1]->version == 2;
    });
    fixture.Submit(task, "job2");
    const json page = fixture.CheckResults(task, "job2", 2);
    for (const json& result : page["Results"]) {
      CHECK(result.value("Versions", json::array()) == json::array({2}));
    }
  });
}

// Guards against a text that is given up although its engine is only silent for a moment.
TEST_CASE("a text of one version goes on at an engine that is back within a moment",
          "[text_restart]") {
  SingleVersionFixture fixture;
  fixture.RunStep(1, [&](Task& task, FrontInstance& /*instance*/) {
    SleepUntil(task, SteadyNow() + milliseconds(400));
    fixture.engines[0]->version = 2;
    fixture.store.Put("servers", "i-1", fixture.engines[0]->RegistrationEntry("model", "a"));
    fixture.engines[1]->break_after_events = 1;  // one run breaks off; the engine serves on
    const json page = fixture.CheckResults(task, "job1", 2);
    CHECK(fixture.engines[1]->resumed_runs >= 1);
  });
}

// Guards against results of several versions on a route that has become one for texts of one
// version while the items were under way.
TEST_CASE("texts of several versions are started anew when their route allows one version only",
          "[text_restart]") {
  SingleVersionFixture fixture;
  fixture.PutConfiguration(5, false);
  fixture.RunStep(2, [&](Task& task, FrontInstance& /*instance*/) {
    for (const auto& engine : fixture.engines) {
      engine->version = 2;
      fixture.store.Put("servers", engine->Id(), engine->RegistrationEntry("model", "a"));
      engine->Server().Crash();
      engine->Server().Reopen();
    }
    fixture.Await(task, "the texts go on under the next version", [&] {
      return fixture.engines[0]->resumed_runs + fixture.engines[1]->resumed_runs >= 4;
    });
    SleepUntil(task, SteadyNow() + milliseconds(150));
    fixture.PutConfiguration(6, true);
    fixture.CheckResults(task, "job1", 4);
  });
}

}  // namespace
}  // namespace anvilcroft
