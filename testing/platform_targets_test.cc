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

// The platform's bound on the time until a leaving target gets no further request.
constexpr Duration kDrain = milliseconds(2000);

// Two app targets, of which one says in its answers that it leaves, and two model engines likewise.
class LeavingFixture : public PlatformFixture {
 public:
  LeavingFixture() : other(this->runtime, "i-other", "") {
    REQUIRE(this->other.Start());
    this->store.Put("servers", "i-other", this->other.RegistrationEntry("app", "a"));
    this->AddEngine("i-e1");
    this->AddEngine("i-e2");
  }

  // Sends requests to `path` until `target` has answered one.
  void SendUntilAnswered(Task& task, const std::string& address, const std::string& path,
                         const fakes::PlatformEngine& target) {
    const std::size_t before = target.started.size();
    for (int i = 0; target.started.size() == before && i < 200; ++i) {
      this->Send(task, address, "POST", path, "u" + std::to_string(i));
    }
    REQUIRE(target.started.size() > before);
  }

  // Number of requests that `target` gets of those sent to `path` for `duration`.
  std::size_t CountLater(Task& task, const std::string& address, const std::string& path,
                         const fakes::PlatformEngine& target, Duration duration) {
    const std::size_t before = target.started.size();
    const TimePoint end = SteadyNow() + duration;
    for (int i = 0; SteadyNow() < end; ++i) {
      const auto answer =
          this->Send(task, address, "POST", path, path + std::to_string(i), "", "1500");
      CHECK((answer && answer->Status() == 200));
      SleepUntil(task, SteadyNow() + milliseconds(10));
    }
    return target.started.size() - before;
  }

  fakes::PlatformEngine other;
};

// Guards against requests to a target that has said in an answer that it leaves, while its entry
// says that it is ready, is written anew, or is gone and comes back.
TEST_CASE("a target that says that it leaves gets no further requests", "[platform][leaving]") {
  LeavingFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const std::string& address = instance.FrontAddress();
    struct Case {
      std::string path;
      std::string service;
      fakes::PlatformEngine& target;
      fakes::PlatformEngine& other;
    };
    for (const Case& one :
         {Case{"/lookup/1", "app", fixture.app, fixture.other},
          Case{"/draft/1", "model", *fixture.engines.front(), *fixture.engines.back()}}) {
      CAPTURE(one.path);
      one.target.leaving = true;
      fixture.SendUntilAnswered(task, address, one.path, one.target);
      const TimePoint said = SteadyNow();
      const std::string entry = one.target.RegistrationEntry(one.service, "a");
      fixture.store.Put("servers", one.target.Id(), entry);
      SleepUntil(task, said + kDrain);
      CHECK(fixture.CountLater(task, address, one.path, one.target, milliseconds(700)) == 0);
      fixture.store.Remove("servers", one.target.Id());
      SleepUntil(task, SteadyNow() + milliseconds(200));
      fixture.store.Put("servers", one.target.Id(), entry);
      SleepUntil(task, SteadyNow() + milliseconds(200));
      CHECK(fixture.CountLater(task, address, one.path, one.target, milliseconds(700)) == 0);
      // A new start is used again.
      fixture.store.Remove("servers", one.other.Id());
      one.target.leaving = false;
      const std::string former = one.target.Id();
      one.target.Restart(fakes::PlatformEngine::kSoftware);
      fixture.store.Remove("servers", former);
      fixture.store.Put("servers", one.target.Id(), one.target.RegistrationEntry(one.service, "a"));
      SleepUntil(task, SteadyNow() + milliseconds(200));
      fixture.SendUntilAnswered(task, address, one.path, one.target);
    }
  });
}

// Guards against items that start on an engine which has said in its answer to an item, a report or
// an order that it leaves.
TEST_CASE("an engine that says that it leaves gets no further items", "[platform][leaving]") {
  LeavingFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fakes::PlatformEngine& leaving = *fixture.engines.front();
    const auto run = [&](const std::string& job, int groups) {
      REQUIRE(fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/a", job,
                           PlatformFixture::Step(job, groups)));
      fixture.AwaitResults(task, instance.FrontAddress(), job,
                           static_cast<std::size_t>(groups) * 2);
    };
    leaving.leaving = true;
    run("x", 6);
    REQUIRE(!leaving.started.empty());
    const std::size_t before = leaving.started.size();
    run("y", 6);
    CHECK(leaving.started.size() == before);
  });
}

}  // namespace
}  // namespace anvilcroft
