// Tests of the fakes that other tests rely on. If a fake did not inject a fault or enforce a limit,
// those tests would pass without checking anything.

#include <catch2/catch.hpp>

#include "anvilcroft/table_client.h"
#include "fakes/expected_text.h"
#include "fakes/fake_app.h"
#include "fakes/fake_instance_list.h"
#include "fakes/fake_judge.h"
#include "fakes/fake_object_store.h"
#include "fakes/fake_table.h"
#include "fakes/fake_weight_store.h"
#include "testing/fake_test_util.h"

namespace anvilcroft::fakes {
namespace {

using nlohmann::json;

TEST_CASE("the table applies a transaction only if every check holds", "[fakes]") {
  Runtime runtime;
  const auto fake = FakeTable::Builder(runtime).Build();
  HttpClient http(runtime);
  TableClient table(http, StartFake(*fake));
  RunTask(runtime, [&](Task& task) {
    const auto put = [&](const std::string& key, RowVersion version) {
      const auto transaction = Transaction::Builder()
                                   .CheckAbsent("t", "never")
                                   .CheckVersion("t", key, version)
                                   .Put("t", key, {{"n", 1}})
                                   .Build();
      return table.Commit(task, transaction, DefaultDeadline());
    };
    const auto first = put("a", 0);
    REQUIRE(first);
    const auto conflict = put("a", 0);
    REQUIRE_FALSE(conflict);
    CHECK(conflict.error().code == ErrorCode::kConflict);
    CHECK(conflict.error().part == "1");
    const auto second = put("a", *first);
    REQUIRE(second);
    CHECK(*second > *first);
    for (int i = 0; i < 250; ++i) REQUIRE(put("b" + std::to_string(1000 + i), 0));
    const auto rows = table.Scan(task, "t", "b", 1000, DefaultDeadline());
    REQUIRE(rows);
    CHECK(rows->size() == 250);
    CHECK(rows->back().key == "b1249");
    const auto absent = table.Read(task, "t", "missing", DefaultDeadline());
    REQUIRE(absent);
    CHECK_FALSE(absent->has_value());
  });
}

TEST_CASE("a transaction with a lost answer is applied, at once or late", "[fakes]") {
  Runtime runtime;
  const auto fake = FakeTable::Builder(runtime).Build();
  HttpClient http(runtime);
  const Endpoint endpoint = StartFake(*fake);
  TableClient table(http, endpoint);
  RunTask(runtime, [&](Task& task) {
    const auto commit = [&](const std::string& name, const std::string& key) {
      return table.Commit(task, Transaction::Builder().Put(name, key, 1).Build(),
                          DefaultDeadline());
    };
    BodyOf(http.Call(task, endpoint,
                     Post("/control/faults", {{"lose_answers", 1}, {"match_table", "t"}}),
                     CallOptions(DefaultDeadline())));
    REQUIRE(commit("other", "a"));
    const auto lost = commit("t", "a");
    REQUIRE_FALSE(lost);
    CHECK(lost.error().ran == Ran::kUnknown);
    CHECK(fake->Find("t", "a"));
    BodyOf(http.Call(task, endpoint,
                     Post("/control/faults", {{"lose_answers", 1}, {"delay_apply_ms", 50}}),
                     CallOptions(DefaultDeadline())));
    REQUIRE_FALSE(commit("t", "b"));
    CHECK_FALSE(fake->Find("t", "b"));
    while (!fake->Find("t", "b")) SleepUntil(task, SteadyNow() + milliseconds(5));
    const json log = BodyOf(
        http.Call(task, endpoint, Get("/control/log?table=t"), CallOptions(DefaultDeadline())));
    CHECK(log["transactions"].size() == 2);
    CHECK(log["writes"] == 3);
  });
}

TEST_CASE("the table refuses writes above its rate limit and all calls during an outage",
          "[fakes]") {
  Runtime runtime;
  const auto fake = FakeTable::Builder(runtime).SetWritesPerSecond(0.01).Build();
  HttpClient http(runtime);
  TableClient table(http, StartFake(*fake));
  RunTask(runtime, [&](Task& task) {
    int limited = 0;
    for (int i = 0; i < 20; ++i) {
      const auto done =
          table.Commit(task, Transaction::Builder().Put("t", "a", i).Build(), DefaultDeadline());
      if (!done) ++limited;
    }
    CHECK(limited > 0);
    CHECK(fake->Counts().limited == static_cast<uint64_t>(limited));
    CHECK(fake->Counts().writes + limited == 20);
    FaultPlan plan;
    plan.mode = FaultPlan::Mode::kDown;
    fake->Server().SetFaults(plan);
    CHECK_FALSE(table.Read(task, "t", "a", DefaultDeadline()));
    plan.mode = FaultPlan::Mode::kSilent;
    fake->Server().SetFaults(plan);
    const auto silent = table.Read(task, "t", "a", SteadyNow() + milliseconds(50));
    REQUIRE_FALSE(silent);
    fake->Server().SetFaults(FaultPlan());
    CHECK(table.Read(task, "t", "a", DefaultDeadline()));
  });
}

TEST_CASE("the instance list delays changes and returns only those after a given revision",
          "[fakes]") {
  Runtime runtime;
  const auto fake = FakeInstanceList::Builder(runtime).SetLag(seconds(1000)).Build();
  HttpClient http(runtime);
  const Endpoint endpoint = StartFake(*fake);
  RunTask(runtime, [&](Task& task) {
    const auto call = [&](const HttpRequest& request) {
      return BodyOf(http.Call(task, endpoint, request, CallOptions(DefaultDeadline())));
    };
    const auto put = [&](const std::string& id, const std::string& state) {
      return call(Post("/control/put", {{"id", id},
                                        {"kind", "model_engine"},
                                        {"service", "s"},
                                        {"address", "127.0.0.1:9"},
                                        {"zone", "z"},
                                        {"state", state}}))["revision"]
          .get<int64_t>();
    };
    put("e1", "live");
    const int64_t second = put("e2", "live");
    CHECK(call(Get("/v1/instances?since=0"))["instances"].empty());
    fake->SetLag(seconds(0));
    CHECK(call(Get("/v1/instances?since=0"))["instances"].size() == 2);
    put("e1", "leaving");
    const json changes = call(Get("/v1/instances?since=" + std::to_string(second)));
    CHECK(changes["revision"] == second + 1);
    REQUIRE(changes["instances"].size() == 1);
    CHECK(changes["instances"][0]["state"] == "leaving");
  });
}

TEST_CASE("the app engine logs each run once, even if its answer is lost", "[fakes]") {
  Runtime runtime;
  const auto fake = FakeApp::Builder(runtime).Build();
  HttpClient http(runtime);
  const Endpoint endpoint = StartFake(*fake);
  RunTask(runtime, [&](Task& task) {
    const auto run = [&](const std::string& key) {
      const auto request = HttpRequest::Builder()
                               .SetMethod("POST")
                               .SetTarget("/rounds/weigh-slip")
                               .SetHeader("Idempotency-Key", key)
                               .SetHeader("X-Request-Id", "id-" + key)
                               .SetJson("{}")
                               .Build();
      return http.Call(task, endpoint, request, CallOptions(SteadyNow() + milliseconds(500)));
    };
    const auto answer = run("a");
    CHECK(BodyOf(answer)["request_id"] == "id-a");
    CHECK(answer->Headers().Find("X-Request-Id") == "id-a");
    FaultPlan plan;
    plan.lose_answers = 1;
    plan.silent_after_run = 2;
    fake->Server().SetFaults(plan);
    CHECK_FALSE(run("b"));
    CHECK_FALSE(run("c"));
    fake->Leave();
    const auto refused = run("d");
    REQUIRE(refused);
    CHECK(refused->Status() == 503);
    std::vector<std::string> keys;
    for (const json& entry : fake->Runs()) keys.push_back(entry["key"]);
    CHECK(keys == std::vector<std::string>{"a", "b", "c"});
  });
}

TEST_CASE("the judge, the weight store and the object store follow their protocols and limits",
          "[fakes]") {
  Runtime runtime;
  const auto judge = FakeJudge::Builder(runtime).Build();
  const auto weights = FakeWeightStore::Builder(runtime).SetDownloadsPerSecond(0.01).Build();
  const auto objects = FakeObjectStore::Builder(runtime).Build();
  HttpClient http(runtime);
  const Endpoint judge_address = StartFake(*judge);
  const Endpoint weights_address = StartFake(*weights);
  const Endpoint objects_address = StartFake(*objects);
  RunTask(runtime, [&](Task& task) {
    const auto call = [&](const Endpoint& endpoint, const HttpRequest& request) {
      return http.Call(task, endpoint, request, CallOptions(DefaultDeadline()));
    };
    const json sample = {{"sample", "s"}, {"prompt", "p"}, {"output", "text"}};
    CHECK(BodyOf(call(judge_address, Post("/v1/judge", sample)))["reward"] ==
          ExpectedReward("text"));
    BodyOf(call(weights_address, Get("/v1/weights/s/3")));
    const auto limited = call(weights_address, Get("/v1/weights/s/3"));
    REQUIRE(limited);
    CHECK(limited->Status() == 429);
    FaultPlan plan;
    plan.lose_answers = 1;
    objects->Server().SetFaults(plan);
    const auto put =
        HttpRequest::Builder().SetMethod("PUT").SetTarget("/v1/objects/a%2Fb").SetBody("x").Build();
    CHECK_FALSE(call(objects_address, put));
    const auto got = call(objects_address, Get("/v1/objects/a%2Fb"));
    REQUIRE(got);
    CHECK(got->Body() == "x");
    const auto missing = call(objects_address, Get("/v1/objects/c"));
    REQUIRE(missing);
    CHECK(missing->Status() == 404);
  });
}

}  // namespace
}  // namespace anvilcroft::fakes
