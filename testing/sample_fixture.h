#ifndef TESTING_SAMPLE_FIXTURE_H_
#define TESTING_SAMPLE_FIXTURE_H_

// Runs the sample production and delivery of single instances over a table in memory.

#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/group_runner.h"
#include "anvilcroft/json.h"
#include "anvilcroft/sample_delivery.h"
#include "testing/memory_table.h"

namespace anvilcroft::sample_tests {

constexpr Duration kCallTimeout = seconds(20);

// An instance with stubbed targets. Several instances can share one table.
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
        delivery(
            table.Access(), this->objects, [this](TimePoint) { return this->lease; },
            [this](int shard) { this->notified_shards.insert(shard); }, this->metrics) {}

  // Stands in for the dispatch of work to targets. Judge requests get a reward; others are answered
  // by `generate` if it is set, and otherwise with output of `version`.
  Result<WorkResult> Run(Task& task, const WorkRequest& request) {
    this->requests.push_back(request);
    if (request.OnDispatch()) request.OnDispatch()("first-target");
    const bool judge = request.Operation() == "judge";
    if (judge || !this->generate) {
      SleepUntil(task, SteadyNow() + microseconds(500 * (this->requests.size() % 5)));
    }
    if (judge) return MakeResult({{"reward", 0.5}}, {});
    if (this->generate) return this->generate(task, request);
    return OutputOfVersion(this->version);
  }

  // Three tokens: the first from weight version `version` - 1, the others from `version`.
  static Result<WorkResult> OutputOfVersion(int64_t version) {
    return MakeResult({{"text", "ab"}, {"tokens", {1, 2, 3}}}, {{version - 1, 1}, {version, 2}});
  }

  static WorkResult MakeResult(const nlohmann::json& body, std::vector<WeightSpan> spans) {
    return WorkResult::Builder()
        .SetBody(DumpJson(body))
        .SetTargetId("t")
        .SetSpans(std::move(spans))
        .Build();
  }

  // Runs the group until its marker is removed; false if 50 runs did not remove it.
  bool RunGroup(Task& task, const GroupId& id) {
    for (int i = 0; i < 50; ++i) {
      const Row* row = this->table.Find("groups", id.MarkerKey());
      if (row == nullptr) return true;
      GroupRunner runner(this->context, {id, row->version}, [] { return true; });
      runner.Run(task);
    }
    return false;
  }

  // Runs a take of step 1 of trainer "t".
  Result<nlohmann::json> TakeSamples(Task& task, const std::string& take_id, int64_t version,
                                     std::size_t max = 64) {
    return this->delivery.Run(task, {"t", take_id, 1, version, max}, SteadyNow() + kCallTimeout);
  }

  MemoryTable& table;
  SampleStore store;
  HttpClient http;
  ObjectClient objects;
  Tracer tracer;
  Metrics metrics;
  GroupRunner::Context context;
  anvilcroft::SampleDelivery delivery;
  bool lease = true;
  int64_t version = 10;  // weight version of the output
  std::function<Result<WorkResult>(Task&, const WorkRequest&)> generate;
  std::set<int> notified_shards;
  std::vector<WorkRequest> requests;
};

// Step 1 of trainer "t".
inline StepRequest MakeStep(int groups, int samples) {
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

// Registers trainer "t" with weight version 10 and the staleness bound `bound`, and submits `step`.
inline void Submit(Task& task, Instance& instance, const StepRequest& step, int64_t bound = 2) {
  REQUIRE(instance.store.PutTrainer(task, {"t", "s", 10, bound}, SteadyNow() + kCallTimeout));
  REQUIRE(instance.store.SubmitStep(task, step, SteadyNow() + kCallTimeout));
}

}  // namespace anvilcroft::sample_tests

#endif  // TESTING_SAMPLE_FIXTURE_H_
