// Guards the production and delivery of samples: duplicates and losses when owners race and
// answers get lost, stale deliveries, samples without known weight versions, stragglers.

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "anvilcroft/group_runner.h"
#include "anvilcroft/json.h"
#include "anvilcroft/take.h"
#include "testing/memory_table.h"

namespace anvilcroft {
namespace {

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

StepRequest Step(int groups, int samples) {
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

void Submit(Task& task, Instance& instance, const StepRequest& step, int64_t bound = 2) {
  REQUIRE(instance.store.PutTrainer(task, {"t", "s", 10, bound}, SteadyNow() + kLimit));
  REQUIRE(instance.store.SubmitStep(task, step, SteadyNow() + kLimit));
}

// The samples of all recorded takes, each with how often it was delivered.
std::map<std::string, int> Delivered(MemoryTable& table) {
  std::map<std::string, int> delivered;
  for (const auto& [key, row] : table.Rows("takes")) {
    for (const auto& item : row.value["samples"]) ++delivered[item["sample"].get<std::string>()];
  }
  return delivered;
}

// Takes until nothing remains, each take_id at both instances, and checks that they agree and that
// the samples are within the bound of 2.
void TakeAll(Task& task, Instance& a, Instance& b, const std::string& name) {
  for (int i = 0; i < 500; ++i) {
    const std::string take_id = name + std::to_string(i);
    const int64_t version = a.version;
    const auto first = a.Take(task, take_id, version, 3);
    const auto again = b.Take(task, take_id, version, 3);
    if (!first || !again) continue;
    REQUIRE(first->at("samples") == again->at("samples"));
    for (const auto& sample : first->at("samples")) {
      REQUIRE(sample["weight_versions"][0]["version"] >= version - 2);
    }
    if (again->at("remaining") == 0) return;
  }
  FAIL("the step was not delivered");
}

TEST_CASE("each sample is delivered once with racing owners and lost answers", "[samples]") {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    Runtime runtime;
    MemoryTable table(runtime, seed);
    Instance a(runtime, table, 2 * seed);
    Instance b(runtime, table, 2 * seed + 1);
    const auto step = Step(5, 4);
    RunInTask(runtime, [&](Task& task) {
      table.faults = 0.3;
      Submit(task, a, step);
      int working = 0;
      bool delivered_all = false;
      const auto start = [&](std::function<void(Task&)> body) {
        ++working;
        runtime.Spawn([&working, body = std::move(body)](Task& inner) {
          body(inner);
          --working;
        });
      };
      for (Instance* instance : {&a, &b}) {
        for (const GroupRecord& group : step.groups) {
          start([&, instance, id = group.id](Task& inner) {
            while (!delivered_all) {
              CHECK(instance->RunGroup(inner, id));
              SleepUntil(inner, SteadyNow() + milliseconds(5));
            }
          });
        }
      }
      // Each new version makes all samples that are ready too stale.
      start([&](Task& inner) {
        for (int i = 0; i < 3; ++i) {
          SleepUntil(inner, SteadyNow() + milliseconds(40));
          a.version += 4;
          b.version += 4;
          const TrainerRecord record{"t", "s", a.version, 2};
          CHECK(a.store.PutTrainer(inner, record, SteadyNow() + kLimit));
        }
      });
      for (const char* name : {"x", "y"}) {
        start([&, name](Task& inner) {
          TakeAll(inner, a, b, name);
          delivered_all = true;
        });
      }
      REQUIRE(Eventually(
          task, [&] { return working == 0; }, seconds(120)));
      const auto delivered = Delivered(table);
      CHECK(delivered.size() == 20);
      for (const auto& [sample, times] : delivered) CHECK(times == 1);
      CHECK(table.Rows("ready").empty());
    });
  }
}

TEST_CASE("a lost answer of a take or a completion repeats nothing", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 2);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    table.lose_answers = 2;
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(table.Rows("ready").size() == 2);
    table.lose_answers = 1;
    const auto taken = a.Take(task, "k", 10);
    REQUIRE(taken);
    CHECK(taken->at("samples").size() == 2);
    CHECK(taken->at("remaining") == 0);
    // A repeated take gives the same samples, whatever the trainer's version is by then.
    REQUIRE(a.store.PutTrainer(task, {"t", "s", 99, 0}, SteadyNow() + kLimit));
    CHECK(a.Take(task, "k", 10).value() == *taken);
    CHECK(Delivered(table).size() == 2);
  });
}

TEST_CASE("a take that was answered empty stays empty", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 2);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    const auto empty = a.Take(task, "k", 10);
    REQUIRE(empty);
    CHECK(empty->at("remaining") == 2);
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(a.Take(task, "k", 10).value() == *empty);
    CHECK(a.Take(task, "l", 10)->at("samples").size() == 2);
  });
}

TEST_CASE("the staleness bound holds at the moment of the take", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(2, 2);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step, 1);
    for (const auto& group : step.groups) REQUIRE(a.RunGroup(task, group.id));
    // The samples name versions 9 and 10, so the bound of 1 allows them at 10 and not at 11.
    const auto first = a.Take(task, "k", 10, 1);
    REQUIRE(first);
    CHECK(first->at("samples").size() == 1);
    REQUIRE(a.store.PutTrainer(task, {"t", "s", 11, 1}, SteadyNow() + kLimit));
    const auto wrong = a.Take(task, "l", 10);
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().code == ErrorCode::kConflict);
    CHECK(wrong.error().ran == Ran::kNo);
    const auto stale = a.Take(task, "m", 11);
    REQUIRE(stale);
    CHECK(stale->at("samples").empty());
    CHECK(stale->at("remaining") == 3);
    CHECK(table.Rows("groups").size() == 2);
    CHECK_FALSE(a.notified.empty());
    // Samples that are too stale at once run again until an engine has newer weights.
    std::size_t stale_runs = 0;
    a.generate = [&](Task&, const WorkRequest&) {
      return Instance::Output(++stale_runs <= 3 ? 10 : 12);
    };
    for (const auto& group : step.groups) REQUIRE(a.RunGroup(task, group.id));
    const auto fresh = a.Take(task, "n", 11);
    REQUIRE(fresh);
    REQUIRE(fresh->at("samples").size() == 3);
    for (const auto& sample : fresh->at("samples")) {
      CHECK(sample["attempt"] == 2);
      CHECK(sample["weight_versions"] ==
            nlohmann::json::parse(R"([{"version":11,"tokens":1},{"version":12,"tokens":2}])"));
    }
    CHECK(stale_runs == 6);
    CHECK(fresh->at("remaining") == 0);
  });
}

TEST_CASE("weights that change during a take do not let a stale sample through", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 8);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step, 1);
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    for (int64_t version = 10; version < 30; ++version) {
      bool raised = false;
      runtime.Spawn([&](Task& inner) {
        SleepUntil(inner, SteadyNow() + microseconds(100 * (version - 10)));
        CHECK(a.store.PutTrainer(inner, {"t", "s", version + 1, 1}, SteadyNow() + kLimit));
        raised = true;
      });
      const std::string take_id = "k" + std::to_string(version);
      // A deadline this short leaves no time to wait for samples.
      const auto taken = a.take.Run(task, {"t", take_id, 1, version, 1}, SteadyNow() + seconds(1));
      REQUIRE(Eventually(task, [&] { return raised; }));
      if (taken && version > 10) CHECK(taken->at("samples").empty());
    }
  });
}

TEST_CASE("a take commits only over the rows it has read", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 2);
  // Runs `change` once, between the reads of a take and its transaction.
  const auto change_under_take = [&](std::function<void()> change) {
    table.before_commit = [&table, change](const Transaction& transaction) {
      const auto writes_take = [](const auto& write) { return write.table == "takes"; };
      const auto& writes = transaction.Writes();
      if (std::none_of(writes.begin(), writes.end(), writes_take)) return;
      table.before_commit = nullptr;
      change();
    };
  };
  const auto put = [&](const std::string& name, const std::string& key,
                       const nlohmann::json& value) {
    REQUIRE(table.Apply(Transaction::Builder().Put(name, key, value).Build()));
  };
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step, 1);
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    const std::string first = step.groups[0].id.SampleKey(0);
    SECTION("the trainer's version") {
      change_under_take([&] { put("trainers", "t", TrainerRecord{"t", "s", 12, 1}.Encode()); });
      const auto taken = a.Take(task, "k", 10);
      REQUIRE_FALSE(taken);
      CHECK(taken.error().code == ErrorCode::kConflict);
    }
    SECTION("a ready row") {
      change_under_take(
          [&] { REQUIRE(table.Apply(Transaction::Builder().Delete("ready", first).Build())); });
      const auto taken = a.Take(task, "k", 10);
      REQUIRE(taken);
      REQUIRE(taken->at("samples").size() == 1);
      CHECK(taken->at("samples")[0]["sample"] != first);
    }
    SECTION("the row of the take") {
      const TakeRecord other{"k", 1, {}, 7};
      change_under_take([&] { put("takes", "t/k", other.Encode()); });
      const auto taken = a.Take(task, "k", 10);
      REQUIRE(taken);
      CHECK(taken->at("remaining") == 7);
      CHECK(table.Rows("ready").size() == 2);
    }
    SECTION("the step's count of delivered samples") {
      change_under_take([&] {
        nlohmann::json value = table.Find("steps", "t/1")->value;
        value["taken"] = 1;
        put("steps", "t/1", value);
      });
      CHECK(a.Take(task, "k", 10, 1)->at("remaining") == 0);
    }
  });
}

TEST_CASE("a slow former owner does not bring back a delivered sample", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  Instance b(runtime, table, 2);
  const auto step = Step(1, 2);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    bool held = true;
    b.generate = [&](Task& inner, const WorkRequest&) {
      while (held) SleepUntil(inner, SteadyNow() + milliseconds(1));
      return Instance::Output(10);
    };
    bool ended = false;
    runtime.Spawn([&](Task& inner) {
      CHECK(b.RunGroup(inner, step.groups[0].id));
      ended = true;
    });
    REQUIRE(Eventually(task, [&] { return b.requests.size() == 2; }));
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    REQUIRE(a.Take(task, "k", 10)->at("samples").size() == 2);
    held = false;
    REQUIRE(Eventually(task, [&] { return ended; }));
    CHECK(table.Rows("ready").empty());
    CHECK(a.Take(task, "l", 10)->at("samples").empty());
  });
}

TEST_CASE("a sample that is set back while its group ends is run again", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 2);
  const GroupId& id = step.groups[0].id;
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    // What a take does to a stale sample, between the last read of the rows and the removal of the
    // marker.
    table.before_commit = [&](const Transaction& transaction) {
      if (transaction.Writes()[0].table != "groups") return;
      table.before_commit = nullptr;
      SampleRecord back;
      back.state = SampleRecord::State::kRegenerate;
      REQUIRE(table.Apply(Transaction::Builder()
                              .Delete("ready", id.SampleKey(1))
                              .Put("samples", id.SampleKey(1), back.Encode())
                              .Put("groups", id.MarkerKey(), id.Encode())
                              .Build()));
    };
    REQUIRE(a.RunGroup(task, id));
    const auto taken = a.Take(task, "k", 10);
    REQUIRE(taken);
    REQUIRE(taken->at("samples").size() == 2);
    CHECK(taken->at("samples")[1]["attempt"] == 2);
  });
}

TEST_CASE("output without known versions is generated again", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 1);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    int runs = 0;
    const nlohmann::json body = {{"text", "ab"}, {"tokens", {1, 2, 3}}};
    a.generate = [&](Task&, const WorkRequest&) -> Result<WorkResult> {
      CHECK(table.Rows("samples").empty());
      ++runs;
      if (runs == 1) return Instance::Answer(body, {});
      if (runs == 2) return Instance::Answer(body, {{10, 2}});
      return Instance::Output(10);
    };
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(runs == 3);
    CHECK(a.Take(task, "k", 10)->at("samples").size() == 1);
  });
}

TEST_CASE("engines with weights that are too old get no samples for a while", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 4);
  const TimePoint start = SteadyNow();
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step, 1);
    REQUIRE(a.store.PutTrainer(task, {"t", "s", 20, 1}, SteadyNow() + kLimit));
    // An observation that does not expire during the test, however slow the machine is.
    a.context.versions.Observe("old", 18, start + std::chrono::hours(1));
    a.generate = [&](Task&, const WorkRequest& request) -> Result<WorkResult> {
      CHECK(request.Excluded() == std::set<std::string>{"old"});
      return Instance::Output(20);
    };
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(a.requests.size() == 8);
    // The spans of an output tell the version of its engine too.
    CHECK(a.context.versions.OlderThan(21, start) == std::set<std::string>{"old", "t"});
    CHECK(a.context.versions.OlderThan(20, start) == std::set<std::string>{"old"});
    a.context.versions.Observe("u", 3, start);
    CHECK(a.context.versions.OlderThan(4, start + seconds(3)).count("u") == 1);
    CHECK(a.context.versions.OlderThan(4, start + seconds(4)).count("u") == 0);
  });
}

TEST_CASE("output that is too stale at once is not judged", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 1);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step, 1);
    int runs = 0;
    a.generate = [&](Task&, const WorkRequest&) { return Instance::Output(++runs == 1 ? 9 : 10); };
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(runs == 2);
    CHECK(a.requests.size() == 3);
  });
}

TEST_CASE("a straggler is issued once more elsewhere and delivered once", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 8);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    int runs = 0;
    std::shared_ptr<Cancellation> slow;
    a.generate = [&](Task& inner, const WorkRequest& request) -> Result<WorkResult> {
      if (++runs == 3) {
        slow = request.CancelledBy();
        REQUIRE(Eventually(inner, [&] { return slow->Cancelled(); }));
        // The loser may still finish; its output must not be delivered too.
        return Instance::Output(9);
      }
      if (!request.Excluded().empty()) {
        CHECK(request.Excluded() == std::set<std::string>{"first-target"});
      }
      return Instance::Output(10);
    };
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(runs == 9);
    CHECK(a.context.budget.Reissued() == 1);
    const auto taken = a.Take(task, "k", 10);
    REQUIRE(taken);
    CHECK(taken->at("samples").size() == 8);
    for (const auto& sample : taken->at("samples")) {
      CHECK(sample["weight_versions"][1]["version"] == 10);
    }
  });
}

TEST_CASE("re-issued samples stay within a twentieth of those started", "[samples]") {
  StragglerBudget budget;
  int64_t reissued = 0;
  for (int started = 1; started <= 1000; ++started) {
    budget.Started();
    reissued += budget.Take() ? 1 : 0;
    REQUIRE(reissued * 20 < started + 20);
  }
  CHECK(reissued == 50);
}

TEST_CASE("a repeated step is the same step or refused", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 3);
  Instance a(runtime, table, 1);
  // More groups than one transaction takes, with lost answers.
  const auto step = Step(250, 1);
  RunInTask(runtime, [&](Task& task) {
    table.faults = 0.5;
    Submit(task, a, step);
    table.faults = 0;
    CHECK(table.Rows("groups").size() == 250);
    const auto version = table.Find("groups", step.groups[7].id.MarkerKey())->version;
    CHECK(a.store.SubmitStep(task, step, SteadyNow() + kLimit));
    CHECK(table.Find("groups", step.groups[7].id.MarkerKey())->version == version);
    const auto other = a.store.SubmitStep(task, Step(250, 2), SteadyNow() + kLimit);
    REQUIRE_FALSE(other);
    CHECK(other.error().code == ErrorCode::kConflict);
    const auto lower = a.store.PutTrainer(task, {"t", "s", 9, 2}, SteadyNow() + kLimit);
    REQUIRE_FALSE(lower);
    CHECK(lower.error().code == ErrorCode::kStaleVersion);
  });
}

TEST_CASE("without its lease an instance delivers nothing and says so", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = Step(1, 1);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    a.lease = false;
    const auto refused = a.Take(task, "k", 10);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::kNoLease);
    CHECK(refused.error().ran == Ran::kNo);
    CHECK(table.Rows("takes").empty());
    table.down = true;
    const auto down = a.take.Run(task, {"t", "k", 1, 10, 64}, SteadyNow() + milliseconds(100));
    REQUIRE_FALSE(down);
    CHECK(down.error().ran == Ran::kNo);
  });
}

}  // namespace
}  // namespace anvilcroft
