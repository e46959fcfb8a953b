// Tests of the fake engine. If its answers, spans or faults were wrong, tests of routing, streams
// and weight versions could pass without checking anything.

#include "fakes/fake_engine.h"

#include <catch2/catch.hpp>

#include "fakes/expected_text.h"
#include "testing/fake_test_util.h"

namespace anvilcroft::fakes {
namespace {

using nlohmann::json;

json Work(const std::string& id, int64_t max_tokens) {
  return {{"request_id", id}, {"prompt", "prompt " + id}, {"max_tokens", max_tokens}};
}

json Order(const std::string& id, uint64_t fencing, int64_t version) {
  return {{"order_id", id}, {"fencing", fencing}, {"kind", "load_weights"}, {"version", version}};
}

// A fake engine and a client for it.
struct EngineFixture {
  explicit EngineFixture(Runtime& runtime) : http(runtime) {
    this->engine = FakeEngine::Builder(runtime)
                       .SetTokensPerSecond(500)
                       .SetBatchSize(2)
                       .SetSwapTime(milliseconds(10))
                       .SetCacheEvents(seconds(0), 0)
                       .Build();
    this->endpoint = StartFake(*this->engine);
  }

  Result<HttpResponse> Call(Task& task, const HttpRequest& request) {
    return this->http.Call(task, this->endpoint, request, CallOptions(DefaultDeadline()));
  }

  int Count(const std::string& event) const {
    int count = 0;
    for (const json& entry : this->engine->Requests()) count += entry["event"] == event;
    return count;
  }

  HttpClient http;
  std::unique_ptr<FakeEngine> engine;
  Endpoint endpoint;
};

TEST_CASE("an answer is complete, and a resumed one has exactly the remaining tokens", "[fakes]") {
  Runtime runtime;
  EngineFixture fixture(runtime);
  RunTask(runtime, [&](Task& task) {
    const json whole = BodyOf(fixture.Call(task, Post("/v1/generate", Work("r1", 20))));
    CHECK(whole["request_id"] == "r1");
    CHECK(whole["text"] == ExpectedText("prompt r1", 20));
    CHECK(whole["spans"] == json::parse(R"([{"version": 1, "tokens": 20}])"));
    json rest = Work("r1", 20);
    rest["resume_tokens"] = json(whole["tokens"].begin(), whole["tokens"].begin() + 15);
    const json resumed = BodyOf(fixture.Call(task, Post("/v1/generate", rest)));
    CHECK(resumed["tokens"] == json(whole["tokens"].begin() + 15, whole["tokens"].end()));
    rest["resume_tokens"][3] = -1;
    const auto foreign = fixture.Call(task, Post("/v1/generate", rest));
    REQUIRE(foreign);
    CHECK(foreign->Status() == 400);
  });
}

TEST_CASE("a stream during a swap reports both weight versions", "[fakes]") {
  Runtime runtime;
  EngineFixture fixture(runtime);
  RunTask(runtime, [&](Task& task) {
    json work = Work("r1", 100);
    work["stream"] = true;
    const auto stream = fixture.http.OpenStream(task, fixture.endpoint, Post("/v1/generate", work),
                                                CallOptions(DefaultDeadline()));
    REQUIRE(stream);
    const auto first = (*stream)->Read(task);
    REQUIRE(first);
    std::string body = first->value();
    BodyOf(fixture.Call(task, Post("/v1/orders", Order("o1", 7, 2))));
    while (true) {
      const auto chunk = (*stream)->Read(task);
      REQUIRE(chunk);
      if (!*chunk) break;
      body += **chunk;
    }
    std::string text;
    std::vector<json> events;
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t end = body.find("\n\n", at);
      events.push_back(json::parse(body.substr(at + 6, end - at - 6)));
      at = end + 2;
    }
    REQUIRE(events.size() == 101);
    for (int i = 0; i < 100; ++i) {
      CHECK(events[i]["index"] == i);
      text += events[i]["text"].get<std::string>();
    }
    CHECK(text == ExpectedText("prompt r1", 100));
    CHECK(events[0]["version"] == 1);
    CHECK(events[99]["version"] == 2);
    const json spans = events[100]["spans"];
    REQUIRE(spans.size() == 2);
    CHECK(spans[0]["tokens"].get<int>() + spans[1]["tokens"].get<int>() == 100);
  });
}

TEST_CASE("an order is applied once, an old one is refused, a failed swap changes nothing",
          "[fakes]") {
  Runtime runtime;
  EngineFixture fixture(runtime);
  RunTask(runtime, [&](Task& task) {
    const auto order = [&](const json& body) {
      const auto response = fixture.Call(task, Post("/v1/orders", body));
      return response ? response->Status() : 0;
    };
    BodyOf(fixture.Call(task, Post("/control/faults", {{"fail_swaps", 1}})));
    CHECK(order(Order("o1", 5, 2)) == 503);
    CHECK(fixture.engine->Orders().Current().weight_version == 1);
    CHECK(order(Order("o1", 5, 2)) == 200);
    CHECK(order(Order("o1", 5, 2)) == 200);
    CHECK(order(Order("o0", 4, 1)) == 409);
    const json state = BodyOf(fixture.Call(task, Get("/v1/state")));
    CHECK(state["weight_version"] == 2);
    CHECK(state["last_fencing"] == 5);
    std::vector<std::string> outcomes;
    for (const json& entry : fixture.engine->Orders().Log()) outcomes.push_back(entry["outcome"]);
    CHECK(outcomes == std::vector<std::string>{"swap_failed", "done", "repeated", "old_fencing"});
  });
}

TEST_CASE("waiting work starts by priority, and cancelled work ends", "[fakes]") {
  Runtime runtime;
  EngineFixture fixture(runtime);
  RunTask(runtime, [&](Task& task) {
    std::vector<std::string> order;
    int pending = 0;
    const auto start = [&](const std::string& id, int64_t tokens, const std::string& priority) {
      ++pending;
      json work = Work(id, tokens);
      work["priority"] = priority;
      runtime.Spawn([&, id, work](Task& other) {
        const auto response = fixture.Call(other, Post("/v1/generate", work));
        order.push_back(id + ":" + std::to_string(response ? response->Status() : 0));
        --pending;
      });
      while (fixture.Count("started") < pending + static_cast<int>(order.size())) {
        SleepUntil(task, SteadyNow() + milliseconds(1));
      }
    };
    start("long1", 100000 / 2, "normal");
    start("long2", 40000, "normal");
    start("low", 5, "low");
    start("high", 5, "high");
    BodyOf(fixture.Call(task, Post("/v1/cancel", {{"request_id", "long2"}})));
    while (order.size() < 3) SleepUntil(task, SteadyNow() + milliseconds(1));
    CHECK(order == std::vector<std::string>{"long2:499", "high:200", "low:200"});
    BodyOf(fixture.Call(task, Post("/v1/cancel", {{"request_id", "long1"}})));
    while (pending > 0) SleepUntil(task, SteadyNow() + milliseconds(1));
  });
}

TEST_CASE("a crashing request breaks all requests, and a restart changes instance_start",
          "[fakes]") {
  Runtime runtime;
  EngineFixture fixture(runtime);
  RunTask(runtime, [&](Task& task) {
    const std::string before = fixture.engine->State()["instance_start"];
    bool lost = false;
    runtime.Spawn([&](Task& other) {
      lost = !fixture.Call(other, Post("/v1/generate", Work("victim", 10000)));
    });
    while (fixture.Count("started") == 0) SleepUntil(task, SteadyNow() + milliseconds(1));
    json work = Work("killer", 5);
    work["prompt"] = "a CRASH_TARGET b";
    CHECK_FALSE(fixture.Call(task, Post("/v1/generate", work)));
    while (!lost) SleepUntil(task, SteadyNow() + milliseconds(1));
    const auto refused = fixture.Call(task, Get("/v1/state"));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::kConnectFailed);
    fixture.engine->Restart();
    const json state = BodyOf(fixture.Call(task, Get("/v1/state")));
    CHECK(state["instance_start"] != before);
    BodyOf(fixture.Call(task, Post("/v1/generate", Work("after", 5))));
  });
}

TEST_CASE("a leaving engine refuses new work only, and faults delay answers or change their ids",
          "[fakes]") {
  Runtime runtime;
  EngineFixture fixture(runtime);
  RunTask(runtime, [&](Task& task) {
    BodyOf(fixture.Call(
        task, Post("/control/faults", {{"wrong_request_id", 1}, {"late_answers_ms", 20}})));
    const json foreign = BodyOf(fixture.Call(task, Post("/v1/generate", Work("r1", 2))));
    CHECK(foreign["request_id"] != "r1");
    BodyOf(fixture.Call(task, Post("/control/faults", {{"mode", "refuse"}, {"refuse_ms", 50}})));
    CHECK_FALSE(fixture.Call(task, Get("/v1/state")));
    while (!fixture.Call(task, Get("/v1/state"))) SleepUntil(task, SteadyNow() + milliseconds(5));
    BodyOf(fixture.Call(task, Post("/control/leave", json::object())));
    const auto refused = fixture.Call(task, Post("/v1/generate", Work("r2", 2)));
    REQUIRE(refused);
    CHECK(refused->Status() == 503);
    CHECK(json::parse(refused->Body())["error"]["code"] == "leaving");
  });
}

TEST_CASE("the prefix cache keeps the most recent prefixes that fit its capacity", "[fakes]") {
  std::vector<std::string> removed;
  PrefixCache cache([&](const PrefixCache::Block& block, bool stored) {
    if (!stored) removed.push_back(block);
  });
  const auto first = PrefixCache::BlocksOf(std::string(200, 'a') + "tail");
  const auto second = PrefixCache::BlocksOf(std::string(200, 'b'));
  REQUIRE(first.size() == 3);
  cache.Add(first, 6 * PrefixCache::kBlockTokens);
  cache.Add(second, 6 * PrefixCache::kBlockTokens);
  CHECK(cache.Match(PrefixCache::BlocksOf(std::string(150, 'a'))) == 2);
  cache.Add(PrefixCache::BlocksOf(std::string(64, 'c')), 6 * PrefixCache::kBlockTokens);
  CHECK(removed == std::vector<std::string>{first[2]});
  CHECK(cache.Match(second) == 3);
}

}  // namespace
}  // namespace anvilcroft::fakes
