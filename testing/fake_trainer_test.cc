// Tests of the fake trainer. If it overlooked a duplicate, stale or missing sample, tests would
// pass although the service breaks its delivery guarantees.

#include "fakes/fake_trainer.h"

#include <catch2/catch.hpp>

#include "fakes/expected_text.h"
#include "testing/fake_test_util.h"

namespace anvilcroft::fakes {
namespace {

using nlohmann::json;

json Sample(const std::string& name, const std::string& prompt, int64_t version, int64_t tokens) {
  const std::string output = ExpectedText(prompt, tokens);
  return {{"sample", name},
          {"output", output},
          {"reward", ExpectedReward(output)},
          {"attempt", 1},
          {"weight_versions", {{{"version", version}, {"tokens", tokens}}}}};
}

TEST_CASE("the sample checker reports each kind of delivery fault", "[fakes]") {
  const auto run = [](const std::vector<json>& samples) {
    SampleChecker checker(1, true);
    checker.ExpectStep(1, {{"p", 2, 8}});
    for (const json& sample : samples) checker.AddSample(1, 5, sample, 0);
    return checker.Summary();
  };
  const json good = Sample("1", "p", 4, 8);
  const json other = Sample("2", "p", 5, 8);
  const json clean = run({good, other});
  for (const char* fault :
       {"missing", "duplicates", "stale", "wrong_outputs", "wrong_rewards", "wrong_versions"}) {
    CHECK(clean[fault] == 0);
  }
  CHECK(clean["max_staleness"] == 1);
  CHECK(run({good})["missing"] == 1);
  CHECK(run({good, good})["duplicates"] == 1);
  CHECK(run({good, other, Sample("3", "p", 5, 8)})["duplicates"] == 1);
  CHECK(run({good, Sample("2", "p", 3, 8)})["stale"] == 1);
  CHECK(run({good, Sample("2", "q", 5, 8)})["wrong_outputs"] == 1);
  json changed = other;
  changed["reward"] = 7;
  CHECK(run({good, changed})["wrong_rewards"] == 1);
  changed = other;
  changed["weight_versions"][0]["tokens"] = 7;
  CHECK(run({good, changed})["wrong_versions"] == 1);
}

// An instance that completes steps at once and answers a repeated take with the same samples. It
// drops the connection instead of answering every other new take.
class StubInstance {
 public:
  explicit StubInstance(Runtime& runtime) : server(runtime, "127.0.0.1:0") {
    const auto answer = [this](const json& body) {
      return [this, body](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
        json known = body;
        if (known.contains("addresses")) known["addresses"][0]["address"] = this->address;
        reply.Send(task, JsonResponse(200, known.dump()));
      };
    };
    HttpRouter& routes = this->server.Routes();
    routes.Add("GET", "/v1/addresses",
               answer({{"addresses", {{{"address", ""}}}}, {"ttl_ms", 1000}}));
    routes.Add("PUT", "/v1/trainers/{t}", answer(json::object()));
    routes.Add("POST", "/v1/weights", answer(json::object()));
    routes.Add(
        "POST", "/v1/trainers/{t}/steps",
        JsonRoute([this](Task& task, const json& body, const HttpRequest&, HttpReply& reply) {
          for (const json& group : body["groups"]) {
            for (int i = 0; i < group["samples"]; ++i) {
              const std::string name =
                  body["step"].dump() + "/" + group["group"].dump() + "/" + std::to_string(i);
              this->ready[body["step"]].push_back(
                  Sample(name, group["prompt"], 1, group["max_tokens"]));
            }
          }
          reply.Send(task, JsonResponse(200, "{}"));
        }));
    routes.Add("POST", "/v1/trainers/{t}/takes",
               JsonRoute([this](Task& task, const json& body, const HttpRequest&,
                                HttpReply& reply) { this->HandleTake(task, body, reply); }));
    this->address = *this->server.Start();
  }

  std::string address;

 private:
  void HandleTake(Task& task, const json& body, HttpReply& reply) {
    const std::string id = body["take_id"];
    if (this->takes.count(id) == 0) {
      std::vector<json>& left = this->ready[body["step"]];
      json samples = json::array();
      while (!left.empty() && samples.size() < 2) {
        samples.push_back(left.back());
        left.pop_back();
      }
      this->takes[id] = {{"samples", samples}, {"remaining", left.size()}};
      if (this->takes.size() % 2 == 1) return reply.Abort();
    }
    reply.Send(task, JsonResponse(200, this->takes[id].dump()));
  }

  FakeServer server;
  std::map<int64_t, std::vector<json>> ready;
  std::map<std::string, json> takes;
};

TEST_CASE("the trainer receives every sample exactly once although answers are lost", "[fakes]") {
  Runtime runtime;
  StubInstance instance(runtime);
  const auto trainer = FakeTrainer::Builder(runtime)
                           .SetInstances({*ParseEndpoint(instance.address)})
                           .SetSteps(3, 2, 3, 8)
                           .SetStalenessBound(3)
                           .SetStepTime(milliseconds(1))
                           .Build();
  REQUIRE(trainer->Start());
  RunTask(runtime, [&](Task& task) { trainer->Wait(task); });
  const json summary = trainer->Summary();
  INFO(summary.dump());
  CHECK(trainer->Ok());
  CHECK(summary["samples"] == 18);
  CHECK(summary["max_staleness"] == 2);
  CHECK(summary["retries"] > 0);
}

}  // namespace
}  // namespace anvilcroft::fakes
