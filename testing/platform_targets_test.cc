// Tests front instances while their targets leave or crash.

#include <catch2/catch.hpp>

#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// Guards against requests to a target that has left, because a single call to the store had failed
// some time before its entry was removed.
TEST_CASE("a target whose entry is removed is not used two seconds later", "[platform]") {
  PlatformFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.store.Server().SetFaults(*fakes::ChangeFaults({}, {{"mode", "down"}}));
    SleepUntil(task, SteadyNow() + milliseconds(150));
    fixture.store.Server().SetFaults(*fakes::ChangeFaults({}, {{"mode", "up"}}));
    SleepUntil(task, SteadyNow() + milliseconds(1300));
    fixture.store.Remove("servers", "i-app");
    const TimePoint removed = SteadyNow();
    SleepUntil(task, removed + milliseconds(1950));
    fixture.app.started.clear();
    while (SteadyNow() < removed + milliseconds(3000)) {
      fixture.Send(task, instance.FrontAddress(), "POST", "/lookup/7", "late", "", "200");
    }
    CHECK(fixture.app.started.empty());
  });
}

// Guards against an item that is not placed any more, or is given up, because several engines have
// crashed while they ran it.
TEST_CASE("an item under which many engines crashed is still run to its end", "[platform]") {
  PlatformFixture fixture;
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) fixture.AddEngine(id);
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    bool crashing = true;
    fixture.runtime.Spawn([&](Task& other) {
      while (crashing) {
        // Each run ends in the middle of its first event or has no connection at all.
        for (auto& engine : fixture.engines) engine->break_after_events = 1;
        SleepUntil(other, SteadyNow() + milliseconds(2));
      }
      for (auto& engine : fixture.engines) engine->break_after_events = 0;
    });
    for (auto& engine : fixture.engines) engine->events_per_item = 400;
    REQUIRE(fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/a", "job1",
                         PlatformFixture::Step("x", 1)));
    const auto runs = [&] {
      std::size_t count = 0;
      for (auto& engine : fixture.engines) count += engine->started.size();
      return count;
    };
    fixture.Await(task, "40 runs have crashed", [&] { return runs() >= 40; });
    crashing = false;
    const json page = fixture.AwaitResults(task, instance.FrontAddress(), "job1", 2);
    for (const json& result : page["Results"]) {
      CHECK(result["State"] == "completed");
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(result["Id"].get<std::string>(), 400));
    }
  });
}

}  // namespace
}  // namespace anvilcroft
