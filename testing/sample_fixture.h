#ifndef TESTING_SAMPLE_FIXTURE_H_
#define TESTING_SAMPLE_FIXTURE_H_

// One instance's side of samples over a table in memory, for the tests of their production and
// delivery.

#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/group_runner.h"
#include "anvilcroft/json.h"
#include "anvilcroft/take.h"
#include "testing/memory_table.h"

namespace anvilcroft::sample_tests {

constexpr Duration kLimit = seconds(20);

// One instance's view of the store and of the targets. Several share a table.
class Instance {
 public:
  Instance(Runtime& runtime, MemoryTable& table, uint64_t seed)
      : table(table),
        store(table.Access()),
        http(runtime),
        objects(this->http, Endpoint{"127.0.0.1", 1}),
        tracer(seed, "test", false),
        context{runtime,
                this->store,
                this->objects,
                this->tracer,
                this->metrics,
                [this](Task& task, const WorkRequest& request) { return this->Run(task, request); },
                "i" + std::to_string(seed),
                std::mt19937_64(seed),
                StragglerBudget(),
                EngineVersions()},
        take(
            table.Access(), this->objects, [this](TimePoint) { return this->lease; },
            [this](int shard) { this->notified.insert(shard); }, this->metrics) {}

  Result<WorkResult> Run(Task& task, const WorkRequest& request) {
    this->requests.push_back(request);
    if (request.OnDispatch()) request.OnDispatch()("first-target");
    const bool judge = request.Operation() == "judge";
    if (judge || !this->generate) {
      SleepUntil(task, SteadyNow() + microseconds(500 * (this->requests.size() % 5)));
    }
    if (judge) return Answer({{"reward", 0.5}}, {});
    if (this->generate) return this->generate(task, request);
    return Output(this->version);
  }

  static Result<WorkResult> Output(int64_t version) {
    return Answer({{"text", "ab"}, {"tokens", {1, 2, 3}}}, {{version - 1, 1}, {version, 2}});
  }

  static WorkResult Answer(const nlohmann::json& body, std::vector<WeightSpan> spans) {
    return WorkResult::Builder()
        .SetBody(DumpJson(body))
        .SetTargetId("t")
        .SetSpans(std::move(spans))
        .Build();
  }

  // Runs the group until its marker is gone.
  bool RunGroup(Task& task, const GroupId& id) {
    for (int i = 0; i < 50; ++i) {
      const Row* row = this->table.Find("groups", id.MarkerKey());
      if (row == nullptr) return true;
      GroupRunner runner(this->context, {id, row->version}, [] { return true; });
      runner.Run(task);
    }
    return false;
  }

  Result<nlohmann::json> Take(Task& task, const std::string& take_id, int64_t version,
                              std::size_t max = 64) {
    return this->take.Run(task, {"t", take_id, 1, version, max}, SteadyNow() + kLimit);
  }

  MemoryTable& table;
  SampleStore store;
  HttpClient http;
  ObjectClient objects;
  Tracer tracer;
  Metrics metrics;
  GroupRunner::Context context;
  anvilcroft::Take take;
  bool lease = true;
  int64_t version = 10;
  std::function<Result<WorkResult>(Task&, const WorkRequest&)> generate;
  std::set<int> notified;
  std::vector<WorkRequest> requests;
};

inline StepRequest Step(int groups, int samples) {
  nlohmann::json list = nlohmann::json::array();
  for (int i = 0; i < groups; ++i) {
    list.push_back({{"group", "g/" + std::to_string(i)},
                    {"prompt", "p"},
                    {"samples", samples},
                    {"max_tokens", 3}});
  }
  return *StepRequest::Decode(
      "t", {{"step", 1}, {"service", "s"}, {"operation", "o"}, {"judge", "j"}, {"groups", list}});
}

inline void Submit(Task& task, Instance& instance, const StepRequest& step, int64_t bound = 2) {
  REQUIRE(instance.store.PutTrainer(task, {"t", "s", 10, bound}, SteadyNow() + kLimit));
  REQUIRE(instance.store.SubmitStep(task, step, SteadyNow() + kLimit));
}

}  // namespace anvilcroft::sample_tests

#endif  // TESTING_SAMPLE_FIXTURE_H_
