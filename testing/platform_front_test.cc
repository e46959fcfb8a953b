// Guards the whole path on a hosted platform, with the stand-in of the platform: what callers,
// targets and trainers see of instances that are cut off, stopped or refused.

#include <catch2/catch.hpp>
#include <set>

#include "fakes/fake_link.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

std::set<std::string> ItemsOf(const json& page) {
  std::set<std::string> items;
  for (const json& result : page["Results"]) {
    CHECK(items.insert(result["Id"].get<std::string>()).second);
  }
  return items;
}

TEST_CASE("a request is answered by a target of its route", "[platform]") {
  PlatformFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const auto answer =
        fixture.Send(task, instance.FrontAddress(), "POST", "/lookup/7?a=b", "r1", "question");
    REQUIRE(answer);
    CHECK(answer->Status() == 200);
    CHECK(answer->Body() == "body of r1");
    CHECK(answer->Headers().Find("X-Server-Stamp") == "stamp.i-app.r1");
    const auto unknown = fixture.Send(task, instance.FrontAddress(), "POST", "/other/7", "r2");
    REQUIRE(unknown);
    CHECK(unknown->Status() == 404);
    fixture.Await(task, "the directory knows the instance", [&] {
      const auto found = fixture.Send(task, instance.DirectoryAddress(), "GET",
                                      "/api/lookup?Name=h.example&Zone=a", "l");
      return found && found->Status() == 200 &&
             json::parse(found->Body())["Addresses"][0] == instance.FrontAddress();
    });
  });
}

// Guards against an instance that serves, or says 404, before it has read a configuration.
TEST_CASE("an instance without a configuration refuses with 503", "[platform]") {
  PlatformFixture fixture;
  fixture.store.Server().SetFaults(*fakes::ChangeFaults({}, {{"mode", "down"}}));
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    const auto answer = fixture.Send(task, instance.FrontAddress(), "POST", "/lookup/7", "r1");
    REQUIRE(answer);
    CHECK(answer->Status() == 503);
    CHECK_FALSE(answer->Headers().Find("Retry-After").empty());
    const auto ready = fixture.Send(task, instance.ReadyAddress(), "GET", "/api/readyz", "x");
    REQUIRE(ready);
    CHECK(ready->Status() == 503);
  });
}

// Guards the promise of 503: a request that may run once is sent again only if it did not run.
TEST_CASE("an unrepeatable request that a target failed is not sent again", "[platform]") {
  PlatformFixture fixture;
  fakes::PlatformEngine second(fixture.runtime, "i-app2", "");
  REQUIRE(second.Start());
  fixture.store.Put("servers", "i-app2", second.RegistrationEntry("app", "a"));
  FrontInstance& instance = fixture.AddInstance("one");
  for (fakes::PlatformEngine* target : {&fixture.app, &second}) {
    target->planned_statuses["once"] = {500};
    target->planned_statuses["full"] = {503};
  }
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const auto failed = fixture.Send(task, instance.FrontAddress(), "POST", "/slip/1", "once");
    REQUIRE(failed);
    CHECK(failed->Status() == 500);
    CHECK(fixture.app.started.size() + second.started.size() == 1);
    const auto refused = fixture.Send(task, instance.FrontAddress(), "POST", "/slip/1", "full");
    REQUIRE(refused);
    CHECK(refused->Status() == 503);
    CHECK(fixture.app.started.size() + second.started.size() == 1);
  });
}

TEST_CASE("a batch job is kept, run, judged, listed, read anywhere and ended", "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-e1");
  fixture.AddEngine("i-e2");
  FrontInstance& one = fixture.AddInstance("one");
  FrontInstance& two = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.AwaitReady(task, two);
    const std::string step = PlatformFixture::Step("x", 5);
    const auto kept = fixture.Send(task, two.FrontAddress(), "POST", "/rollout/s", "job1", step);
    REQUIRE(kept);
    CHECK(kept->Status() == 202);
    // The same job again, at another instance.
    const auto again = fixture.Send(task, one.FrontAddress(), "POST", "/rollout/s", "job1", step);
    REQUIRE(again);
    CHECK(again->Status() == 202);
    const json page = fixture.AwaitResults(task, one.FrontAddress(), "job1", 10);
    CHECK(page["Total"] == 10);
    CHECK(page["Next"] == 10);
    CHECK(ItemsOf(page).size() == 10);
    for (const json& result : page["Results"]) {
      const std::string item = result["Id"];
      CHECK(result["State"] == "completed");
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(item, 6));
      CHECK(result["Versions"] == json::array({1}));
      CHECK(result["Score"] == "stamp.i-app.s" + item);
    }
    CHECK(fixture.Results(task, two.FrontAddress(), "job1") == page);
    const auto body =
        fixture.Send(task, two.FrontAddress(), "GET", "/api/items/job1?Id=x3", "body");
    REQUIRE(body);
    CHECK(body->Body() == "prompt of x3");
    const auto missing = fixture.Send(task, two.FrontAddress(), "GET", "/api/lots/none", "read");
    REQUIRE(missing);
    CHECK(missing->Status() == 404);
    for (FrontInstance* instance : {&one, &two}) {
      const auto ended =
          fixture.Send(task, instance->FrontAddress(), "DELETE", "/api/lots/job1", "end");
      REQUIRE(ended);
      CHECK(ended->Status() == 200);
    }
    CHECK(fixture.Results(task, two.FrontAddress(), "job1") == page);
  });
}

// Guards against texts that miss an event, or have one twice, after a broken stream.
TEST_CASE("an item whose stream breaks goes on from its last event", "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-e1").break_after_events = 3;
  fixture.AddEngine("i-e2").break_after_events = 2;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    REQUIRE(fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/s", "job1",
                         PlatformFixture::Step("x", 4)));
    const json page = fixture.AwaitResults(task, instance.FrontAddress(), "job1", 8);
    for (const json& result : page["Results"]) {
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(result["Id"], 6));
    }
  });
}

// Guards against an item given up before its judging request has failed as often as the route
// allows, and against one that is tried for ever.
TEST_CASE("an item expires when its judging request always fails", "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-e1");
  fixture.app.planned_statuses["sx0"] = std::vector<int>(20, 500);
  fixture.app.planned_statuses["sx1"] = {500, 500};
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    REQUIRE(fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/s", "job1",
                         PlatformFixture::Step("x", 1)));
    const json page = fixture.AwaitResults(task, instance.FrontAddress(), "job1", 2);
    for (const json& result : page["Results"]) {
      CHECK(result["State"] == (result["Id"] == "x0" ? "expired" : "completed"));
    }
  });
}

// Guards against a job that is refused although the store has kept it.
TEST_CASE("a submission whose transaction got no answer is settled", "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-e1");
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.Await(task, "the lease is held", [&] { return instance.OwnsBatchJobs(); });
    fixture.store.Server().Faults().lose_answers = 2;
    const auto kept = fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/s", "job1",
                                   PlatformFixture::Step("x", 1));
    REQUIRE(kept);
    // Never a status that promises that no part runs.
    CHECK((kept->Status() == 202 || kept->Status() == 502));
    fixture.AwaitResults(task, instance.FrontAddress(), "job1", 2);
  });
}

// Guards the load pattern of a version named while a step is due: engines load it, one order each,
// with the fencing token of the holder.
TEST_CASE("engines load the named version and run the next step under it", "[platform]") {
  PlatformFixture fixture;
  fakes::PlatformEngine& e1 = fixture.AddEngine("i-e1");
  fakes::PlatformEngine& e2 = fixture.AddEngine("i-e2");
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.store.Put("op", "version/m", R"({"Model":"m","Version":2})");
    fixture.Await(task, "both engines have loaded",
                  [&] { return e1.version == 2 && e2.version == 2; });
    fixture.store.Put("servers", "i-e1", e1.RegistrationEntry("model", "a"));
    fixture.store.Put("servers", "i-e2", e2.RegistrationEntry("model", "a"));
    REQUIRE(fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/s", "job2",
                         PlatformFixture::Step("y", 2, 2)));
    const json page = fixture.AwaitResults(task, instance.FrontAddress(), "job2", 4);
    for (const json& result : page["Results"]) CHECK(result["Versions"] == json::array({2}));
    CHECK(e1.accepted_fences.size() == 1);
    CHECK(e1.accepted_fences == e2.accepted_fences);
  });
}

// Guards against a stop that cuts off a request, and against jobs that nobody takes over.
TEST_CASE("a stopping owner hands over and finishes its requests", "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-e1").event_time = milliseconds(100);
  fixture.Run([&](Task& task) {
    const PlatformFixture::Owners owners = fixture.AddOwners(task);
    FrontInstance& one = owners.owner;
    FrontInstance& two = owners.next;
    REQUIRE(fixture.Send(task, two.FrontAddress(), "POST", "/rollout/s", "job1",
                         PlatformFixture::Step("x", 3)));
    fixture.app.event_time = milliseconds(600);
    bool answered = false;
    fixture.runtime.Spawn([&](Task& caller) {
      const auto answer = fixture.Send(caller, one.FrontAddress(), "POST", "/lookup/1", "long");
      answered = answer && answer->Status() == 200;
    });
    SleepUntil(task, SteadyNow() + milliseconds(100));
    one.ShutDown();
    fixture.Await(task, "the stop has ended", [&] { return fixture.stopped == 1; });
    CHECK(answered);
    fixture.Await(task, "the other one owns the jobs", [&] { return two.OwnsBatchJobs(); });
    fixture.app.event_time = milliseconds(5);
    const json page = fixture.AwaitResults(task, two.FrontAddress(), "job1", 6);
    CHECK(ItemsOf(page).size() == 6);
  });
}

// Guards against a successor that begins texts anew which the former owner had nearly finished.
TEST_CASE("a successor goes on from the texts of a stopping owner", "[platform]") {
  PlatformFixture fixture;
  fakes::PlatformEngine& engine = fixture.AddEngine("i-e1");
  engine.event_time = milliseconds(50);
  engine.events_per_item = 40;
  fixture.Run([&](Task& task) {
    const PlatformFixture::Owners owners = fixture.AddOwners(task);
    FrontInstance& one = owners.owner;
    FrontInstance& two = owners.next;
    REQUIRE(fixture.Send(task, two.FrontAddress(), "POST", "/rollout/s", "job1",
                         PlatformFixture::Step("x", 1)));
    fixture.Await(task, "both items run", [&] { return engine.started.size() == 2; });
    SleepUntil(task, SteadyNow() + milliseconds(500));
    one.ShutDown();
    const json page = fixture.AwaitResults(task, two.FrontAddress(), "job1", 2);
    for (const json& result : page["Results"]) {
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(result["Id"], 40));
    }
    // Every run after the first of an item was asked to go on, none to begin anew.
    CHECK(engine.started.size() > 2);
    CHECK(engine.resumed_runs == static_cast<int>(engine.started.size()) - 2);
  });
}

// Guards against a configuration that falls back, and against a feed that stops after a 410.
TEST_CASE("a lost history neither loses nor reverts the configuration", "[platform]") {
  PlatformFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.store.DropHistory();
    json next = PlatformFixture::Configuration(9);
    next["Routes"][0]["Prefix"] = "/moved/";
    fixture.store.Put("op", "config", next.dump());
    fixture.Await(task, "the new route is in force", [&] {
      const auto answer = fixture.Send(task, instance.FrontAddress(), "POST", "/moved/1", "r1");
      return answer && answer->Status() == 200;
    });
    fixture.store.Put("op", "config", PlatformFixture::Configuration(3).dump());
    SleepUntil(task, SteadyNow() + milliseconds(300));
    const auto answer = fixture.Send(task, instance.FrontAddress(), "POST", "/moved/1", "r2");
    REQUIRE(answer);
    CHECK(answer->Status() == 200);
  });
}

// Guards against an owner that the store turns away and that goes on beside its successor, which
// costs the engines twice the work.
TEST_CASE("a cut-off owner learns of its successor from other instances", "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-1");
  const auto link = fakes::FakeLink::Builder(fixture.runtime)
                        .SetTarget(*ParseEndpoint(fixture.store_address))
                        .Build();
  FrontInstance& first = fixture.AddInstance("one", *link->Start());
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, first);
    fixture.Await(task, "the first owner", [&] { return first.OwnsBatchJobs(); });
    FrontInstance& second = fixture.AddInstance("two");
    fixture.AwaitReady(task, second);
    // The first instance has to know the second one before it is cut off.
    SleepUntil(task, SteadyNow() + seconds(1));
    link->SetMode(fakes::FakeLink::Mode::kCut);
    fixture.Await(task, "the second owner", [&] { return second.OwnsBatchJobs(); });
    fixture.Await(task, "the first one to give up", [&] { return !first.HoldsLease(); });
    CHECK(second.OwnsBatchJobs());
  });
}

// Guards against events that are lost, repeated or joined when an engine breaks off, and against a
// second run of a stream that may run once only.
TEST_CASE("a caller's stream is passed on and goes on at another engine", "[platform]") {
  PlatformFixture platform;
  platform.AddEngine("i-1");
  platform.AddEngine("i-2");
  FrontInstance& front = platform.AddInstance("n-1");
  platform.Run([&](Task& task) {
    platform.AwaitReady(task, front);
    const auto whole = [&](const std::string& id, const std::string& path) {
      return platform.Send(task, front.FrontAddress(), "POST", path, id, "prompt");
    };
    std::string expected;
    for (int i = 1; i <= 6; ++i) {
      expected += "id: " + std::to_string(i) + "\ndata: s1-" + std::to_string(i) + "\n\n";
    }
    for (auto& engine : platform.engines) engine->break_after_events = 2;
    const auto resumed = whole("s1", "/draft/1");
    REQUIRE(resumed);
    CHECK(resumed->Status() == 200);
    CHECK(resumed->Body() == expected);
    CHECK(resumed->Headers().Find("X-Server-Stamp") == "stamp.s1");
    CHECK(platform.engines[0]->resumed_runs + platform.engines[1]->resumed_runs >= 1);

    for (auto& engine : platform.engines) engine->break_after_events = 2;
    for (auto& engine : platform.engines) engine->started.clear();
    CHECK_FALSE(whole("s2", "/dictation/1"));  // broken off, so that it does not look complete
    CHECK(platform.engines[0]->started.size() + platform.engines[1]->started.size() == 1);

    for (auto& engine : platform.engines) engine->break_after_events = 0;
    for (auto& engine : platform.engines) engine->planned_statuses["s3"] = {503};
    const auto refused = whole("s3", "/dictation/1");
    REQUIRE(refused);
    CHECK(refused->Status() == 503);
    const auto again = whole("s4", "/dictation/1");
    REQUIRE(again);
    CHECK(again->Status() == 200);
  });
}

}  // namespace
}  // namespace anvilcroft
