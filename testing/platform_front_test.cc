// Tests front instances end to end on a fake platform: what callers, targets and trainers observe
// when instances are cut off, stopped or refused.

#include <catch2/catch.hpp>
#include <set>

#include "fakes/fake_link.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// Returns the ids of the items on a page of results. Checks that each occurs once.
std::set<std::string> DistinctItemIds(const json& page) {
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
    fixture.Await(task, "the directory lists the instance", [&] {
      const auto found = fixture.Send(task, instance.DirectoryAddress(), "GET",
                                      "/api/lookup?Name=h.example&Zone=a", "l");
      return found && found->Status() == 200 &&
             json::parse(found->Body())["Addresses"][0] == instance.FrontAddress();
    });
  });
}

// Guards against an instance that serves requests, or answers 404, before it has read a
// configuration.
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

// Guards against a second run of a request that may run only once. It may be sent again only after
// a 503, which means that it did not run.
TEST_CASE("a failed request that is not repeatable is not sent again", "[platform]") {
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

// Guards against items of a job without a model that are refused for ever, because the version of
// their earlier runs is expected of engines that have loaded the next one.
TEST_CASE("a batch job without a model goes on after a change of version", "[platform]") {
  PlatformFixture fixture;
  fakes::PlatformEngine& engine = fixture.AddEngine("i-e1");
  engine.event_time = milliseconds(30);
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    json body = json::parse(PlatformFixture::Step("x", 8));
    for (const char* field : {"Model", "Step", "MinVersion", "TargetGroups"}) body.erase(field);
    const auto accepted =
        fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/s", "job1", body.dump());
    REQUIRE(accepted);
    REQUIRE(accepted->Status() == 202);
    fixture.Await(task, "the first items are listed", [&] {
      return !fixture.ReadResults(task, instance.FrontAddress(), "job1")["Results"].empty();
    });
    fixture.store.Put("op", "version/m", R"({"Model":"m","Version":2})");
    const json page = fixture.AwaitResults(task, instance.FrontAddress(), "job1", 16);
    for (const json& result : page["Results"]) CHECK(result["State"] == "completed");
    CHECK(engine.version == 2);
  });
}

TEST_CASE("a batch job is stored, run, judged, listed, read at any instance and ended",
          "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-e1");
  fixture.AddEngine("i-e2");
  FrontInstance& one = fixture.AddInstance("one");
  FrontInstance& two = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.AwaitReady(task, two);
    const std::string step = PlatformFixture::Step("x", 5);
    const auto accepted =
        fixture.Send(task, two.FrontAddress(), "POST", "/rollout/s", "job1", step);
    REQUIRE(accepted);
    CHECK(accepted->Status() == 202);
    // Submits the same job again, to another instance.
    const auto again = fixture.Send(task, one.FrontAddress(), "POST", "/rollout/s", "job1", step);
    REQUIRE(again);
    CHECK(again->Status() == 202);
    const json page = fixture.AwaitResults(task, one.FrontAddress(), "job1", 10);
    CHECK(page["Total"] == 10);
    CHECK(page["Next"] == 10);
    CHECK(DistinctItemIds(page).size() == 10);
    for (const json& result : page["Results"]) {
      const std::string item = result["Id"];
      CHECK(result["State"] == "completed");
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(item, 6));
      CHECK(result["Versions"] == json::array({1}));
      CHECK(result["Score"] == "stamp.i-app.s" + item);
    }
    CHECK(fixture.ReadResults(task, two.FrontAddress(), "job1") == page);
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
    CHECK(fixture.ReadResults(task, two.FrontAddress(), "job1") == page);
  });
}

// Guards against texts that miss or repeat an event after their stream has broken.
TEST_CASE("an item whose stream breaks is continued from its last event", "[platform]") {
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

// Guards against an item that expires before its judging request has failed as often as the route
// allows, and against one that is retried without end.
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

// Guards against a job that is refused although it has been stored.
TEST_CASE("a submission whose transaction gets no answer is not refused", "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-e1");
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.Await(task, "the instance owns the batch jobs",
                  [&] { return instance.OwnsBatchJobs(); });
    fixture.store.Server().Faults().lose_answers = 2;
    const auto accepted = fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/s", "job1",
                                       PlatformFixture::Step("x", 1));
    REQUIRE(accepted);
    // Any status that tells the caller that no part of the job runs would be wrong.
    CHECK((accepted->Status() == 202 || accepted->Status() == 502));
    fixture.AwaitResults(task, instance.FrontAddress(), "job1", 2);
  });
}

// Load pattern: a trainer names a version just before its next step. Each engine gets one order to
// load it, with the fencing token of the lease's holder.
TEST_CASE("engines load the requested version and run the next step with it", "[platform]") {
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

// Guards against a shutdown that cuts off a request, and against jobs that no instance takes over.
TEST_CASE("a stopping owner finishes its requests and hands over its jobs", "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-e1").event_time = milliseconds(100);
  fixture.Run([&](Task& task) {
    const PlatformFixture::OwnerAndSuccessor owners = fixture.AddOwnerAndSuccessor(task);
    FrontInstance& one = owners.owner;
    FrontInstance& two = owners.successor;
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
    fixture.Await(task, "the owner has stopped", [&] { return fixture.stopped == 1; });
    CHECK(answered);
    fixture.Await(task, "the successor owns the batch jobs", [&] { return two.OwnsBatchJobs(); });
    fixture.app.event_time = milliseconds(5);
    const json page = fixture.AwaitResults(task, two.FrontAddress(), "job1", 6);
    CHECK(DistinctItemIds(page).size() == 6);
  });
}

// Guards against a successor that restarts texts which the former owner had nearly finished.
TEST_CASE("a successor continues the texts of a stopping owner", "[platform]") {
  PlatformFixture fixture;
  fakes::PlatformEngine& engine = fixture.AddEngine("i-e1");
  engine.event_time = milliseconds(50);
  engine.events_per_item = 40;
  fixture.Run([&](Task& task) {
    const PlatformFixture::OwnerAndSuccessor owners = fixture.AddOwnerAndSuccessor(task);
    FrontInstance& one = owners.owner;
    FrontInstance& two = owners.successor;
    REQUIRE(fixture.Send(task, two.FrontAddress(), "POST", "/rollout/s", "job1",
                         PlatformFixture::Step("x", 1)));
    fixture.Await(task, "both items run", [&] { return engine.started.size() == 2; });
    SleepUntil(task, SteadyNow() + milliseconds(500));
    one.ShutDown();
    const json page = fixture.AwaitResults(task, two.FrontAddress(), "job1", 2);
    for (const json& result : page["Results"]) {
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(result["Id"], 40));
    }
    // Each run of an item but its first one was asked to continue the text.
    CHECK(engine.started.size() > 2);
    CHECK(engine.resumed_runs == static_cast<int>(engine.started.size()) - 2);
  });
}

// Guards against a configuration that reverts to an older version, and against a feed that stops
// after a 410.
TEST_CASE("a store that has lost its history neither blocks nor reverts the configuration",
          "[platform]") {
  PlatformFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.store.DropHistory();
    json changed = PlatformFixture::Configuration(9);
    changed["Routes"][0]["Prefix"] = "/moved/";
    fixture.store.Put("op", "config", changed.dump());
    fixture.Await(task, "the new route is in use", [&] {
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

// Guards against an owner that cannot reach the store and continues to run its jobs beside its
// successor, which doubles the work of the engines.
TEST_CASE("an owner cut off from the store gives up when other instances name its successor",
          "[platform]") {
  PlatformFixture fixture;
  fixture.AddEngine("i-1");
  const auto link = fakes::FakeLink::Builder(fixture.runtime)
                        .SetTarget(*ParseEndpoint(fixture.store_address))
                        .Build();
  FrontInstance& first = fixture.AddInstance("one", *link->Start());
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, first);
    fixture.Await(task, "the first instance owns the batch jobs",
                  [&] { return first.OwnsBatchJobs(); });
    FrontInstance& second = fixture.AddInstance("two");
    fixture.AwaitReady(task, second);
    // The first instance must have discovered the second one before it is cut off.
    SleepUntil(task, SteadyNow() + seconds(1));
    link->SetMode(fakes::FakeLink::Mode::kCut);
    fixture.Await(task, "the second instance owns the batch jobs",
                  [&] { return second.OwnsBatchJobs(); });
    fixture.Await(task, "the first instance has given up its lease",
                  [&] { return !first.HoldsLease(); });
    CHECK(second.OwnsBatchJobs());
  });
}

// Guards against an instance that stays in the answers to callers although the store, and so maybe
// everyone, no longer hears from it, and against one that does not return to them.
TEST_CASE("an instance without heartbeats leaves the directory and returns", "[platform]") {
  PlatformFixture fixture;
  const auto link = fakes::FakeLink::Builder(fixture.runtime)
                        .SetTarget(*ParseEndpoint(fixture.store_address))
                        .Build();
  FrontInstance& first = fixture.AddInstance("one");
  FrontInstance& second = fixture.AddInstance("two", *link->Start());
  const auto listed = [&](Task& task) -> std::size_t {
    const auto answer = fixture.Send(task, first.DirectoryAddress(), "GET",
                                     "/api/lookup?Name=h.example&Zone=a", "lookup");
    if (!answer || answer->Status() != 200) return 0;
    return nlohmann::json::parse(answer->Body())["Addresses"].size();
  };
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, second);
    fixture.Await(task, "both are listed", [&] { return listed(task) == 2; });
    SleepUntil(task, SteadyNow() + seconds(3));
    CHECK(listed(task) == 2);
    link->SetMode(fakes::FakeLink::Mode::kCut);
    fixture.Await(task, "the second one is left out", [&] { return listed(task) == 1; });
    link->SetMode(fakes::FakeLink::Mode::kUp);
    fixture.Await(task, "the second one is listed again", [&] { return listed(task) == 2; });
  });
}

// Guards against texts that are generated again after a cut between the owner and the store: what
// the owner has not saved is lost, and the step waits for its longest item once more.
TEST_CASE("an owner cut off from the store hands its lease and its texts over", "[platform]") {
  PlatformFixture fixture;
  fakes::PlatformEngine& engine = fixture.AddEngine("i-1");
  engine.events_per_item = 40;
  engine.event_time = milliseconds(100);
  const auto link = fakes::FakeLink::Builder(fixture.runtime)
                        .SetTarget(*ParseEndpoint(fixture.store_address))
                        .Build();
  FrontInstance& first = fixture.AddInstance("one", *link->Start());
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, first);
    fixture.Await(task, "the first instance owns the batch jobs",
                  [&] { return first.OwnsBatchJobs(); });
    FrontInstance& second = fixture.AddInstance("two");
    fixture.AwaitReady(task, second);
    SleepUntil(task, SteadyNow() + seconds(1));  // the first instance discovers the second one
    REQUIRE(fixture.Send(task, first.FrontAddress(), "POST", "/rollout/x", "job",
                         PlatformFixture::Step("a", 1)));
    fixture.Await(task, "the items run", [&] { return engine.started.size() == 2; });
    SleepUntil(task, SteadyNow() + milliseconds(600));  // too few events to be saved in the store
    link->SetMode(fakes::FakeLink::Mode::kCut);
    const nlohmann::json page = fixture.AwaitResults(task, second.FrontAddress(), "job", 2);
    CHECK(second.OwnsBatchJobs());
    CHECK(engine.resumed_runs == 2);
    CHECK(engine.started.size() == 4);
    for (const auto& result : page["Results"]) {
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(result["Id"], 40));
    }
  });
}

// Guards against an owner that stops its work in an outage of the store because the others, which
// cannot reach it either, get an offer of the lease.
TEST_CASE("an owner keeps its lease while no instance reaches the store", "[platform]") {
  PlatformFixture fixture;
  const auto link = fakes::FakeLink::Builder(fixture.runtime)
                        .SetTarget(*ParseEndpoint(fixture.store_address))
                        .Build();
  const std::string address = *link->Start();
  FrontInstance& first = fixture.AddInstance("one", address);
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, first);
    fixture.Await(task, "the first instance owns the batch jobs",
                  [&] { return first.OwnsBatchJobs(); });
    FrontInstance& second = fixture.AddInstance("two", address);
    fixture.AwaitReady(task, second);
    SleepUntil(task, SteadyNow() + seconds(1));
    link->SetMode(fakes::FakeLink::Mode::kCut);
    SleepUntil(task, SteadyNow() + seconds(4));
    CHECK(first.HoldsLease());
    CHECK_FALSE(second.HoldsLease());
    link->SetMode(fakes::FakeLink::Mode::kUp);
    fixture.Await(task, "the lease is valid again",
                  [&] { return first.OwnsBatchJobs() != second.OwnsBatchJobs(); });
  });
}

// Guards against events that are lost, repeated or joined when an engine breaks off a stream, and
// against a second run of a stream that may run only once.
TEST_CASE("a caller's stream is forwarded and continued on another engine", "[platform]") {
  PlatformFixture platform;
  platform.AddEngine("i-1");
  platform.AddEngine("i-2");
  FrontInstance& front = platform.AddInstance("n-1");
  platform.Run([&](Task& task) {
    platform.AwaitReady(task, front);
    const auto post = [&](const std::string& id, const std::string& path) {
      return platform.Send(task, front.FrontAddress(), "POST", path, id, "prompt");
    };
    std::string expected;
    for (int i = 1; i <= 6; ++i) {
      expected += "id: " + std::to_string(i) + "\ndata: s1-" + std::to_string(i) + "\n\n";
    }
    for (auto& engine : platform.engines) engine->break_after_events = 2;
    const auto resumed = post("s1", "/draft/1");
    REQUIRE(resumed);
    CHECK(resumed->Status() == 200);
    CHECK(resumed->Body() == expected);
    CHECK(resumed->Headers().Find("X-Server-Stamp") == "stamp.s1");
    CHECK(platform.engines[0]->resumed_runs + platform.engines[1]->resumed_runs >= 1);

    for (auto& engine : platform.engines) engine->break_after_events = 2;
    for (auto& engine : platform.engines) engine->started.clear();
    CHECK_FALSE(post("s2", "/dictation/1"));  // aborted, so that it does not look complete
    CHECK(platform.engines[0]->started.size() + platform.engines[1]->started.size() == 1);

    for (auto& engine : platform.engines) engine->break_after_events = 0;
    for (auto& engine : platform.engines) engine->planned_statuses["s3"] = {503};
    const auto refused = post("s3", "/dictation/1");
    REQUIRE(refused);
    CHECK(refused->Status() == 503);
    const auto again = post("s4", "/dictation/1");
    REQUIRE(again);
    CHECK(again->Status() == 200);
  });
}

}  // namespace
}  // namespace anvilcroft
