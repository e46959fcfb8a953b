// Tests the delivery of samples. Guards against duplicates and losses when owners and takes race
// and answers are lost, against stale deliveries, and against deliveries without a lease.

#include "anvilcroft/sample_delivery.h"

#include <map>

#include "testing/sample_fixture.h"

namespace anvilcroft::sample_tests {
namespace {

// How often each sample was delivered, by all recorded takes.
std::map<std::string, int> DeliveryCounts(MemoryTable& table) {
  std::map<std::string, int> delivered;
  for (const auto& [key, row] : table.Rows("takes")) {
    for (const auto& item : row.value["samples"]) ++delivered[item["sample"].get<std::string>()];
  }
  return delivered;
}

// Takes samples until none remain. Sends each take_id to both instances, and checks that their
// responses agree and that the samples are within the staleness bound of 2.
void TakeAll(Task& task, Instance& a, Instance& b, const std::string& name) {
  for (int i = 0; i < 500; ++i) {
    const std::string take_id = name + std::to_string(i);
    const int64_t version = a.version;
    const auto first = a.TakeSamples(task, take_id, version, 3);
    const auto again = b.TakeSamples(task, take_id, version, 3);
    if (!first || !again) continue;
    REQUIRE(first->at("samples") == again->at("samples"));
    for (const auto& sample : first->at("samples")) {
      REQUIRE(sample["weight_versions"][0]["version"] >= version - 2);
    }
    if (again->at("remaining") == 0) return;
  }
  FAIL("the step was not delivered");
}

TEST_CASE("each sample is delivered once despite racing owners and lost answers", "[samples]") {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    Runtime runtime;
    MemoryTable table(runtime, seed);
    Instance a(runtime, table, 2 * seed);
    Instance b(runtime, table, 2 * seed + 1);
    const auto step = MakeStep(5, 4);
    RunInTask(runtime, [&](Task& task) {
      table.fault_rate = 0.3;
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
      // Each rise of the trainer's version makes all ready samples too stale.
      start([&](Task& inner) {
        for (int i = 0; i < 3; ++i) {
          SleepUntil(inner, SteadyNow() + milliseconds(40));
          a.version += 4;
          b.version += 4;
          const TrainerRecord record{"t", "s", a.version, 2};
          CHECK(a.store.PutTrainer(inner, record, SteadyNow() + kCallTimeout));
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
      const auto delivered = DeliveryCounts(table);
      CHECK(delivered.size() == 20);
      for (const auto& [sample, times] : delivered) CHECK(times == 1);
      CHECK(table.Rows("ready").empty());
    });
  }
}

TEST_CASE("lost answers of a take or a completion cause no duplicates", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 2);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    table.lose_answers = 2;
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(table.Rows("ready").size() == 2);
    table.lose_answers = 1;
    const auto taken = a.TakeSamples(task, "k", 10);
    REQUIRE(taken);
    CHECK(taken->at("samples").size() == 2);
    CHECK(taken->at("remaining") == 0);
    // A repeated take returns the same samples, even if the trainer's version has changed.
    REQUIRE(a.store.PutTrainer(task, {"t", "s", 99, 0}, SteadyNow() + kCallTimeout));
    CHECK(a.TakeSamples(task, "k", 10).value() == *taken);
    CHECK(DeliveryCounts(table).size() == 2);
  });
}

TEST_CASE("a repeated take of an empty result stays empty", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 2);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    const auto empty = a.TakeSamples(task, "k", 10);
    REQUIRE(empty);
    CHECK(empty->at("remaining") == 2);
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(a.TakeSamples(task, "k", 10).value() == *empty);
    CHECK(a.TakeSamples(task, "l", 10)->at("samples").size() == 2);
  });
}

TEST_CASE("the staleness bound holds at the time of the take", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(2, 2);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step, 1);
    for (const auto& group : step.groups) REQUIRE(a.RunGroup(task, group.id));
    // The samples name versions 9 and 10, so the bound of 1 allows them at 10 and not at 11.
    const auto first = a.TakeSamples(task, "k", 10, 1);
    REQUIRE(first);
    CHECK(first->at("samples").size() == 1);
    REQUIRE(a.store.PutTrainer(task, {"t", "s", 11, 1}, SteadyNow() + kCallTimeout));
    const auto wrong = a.TakeSamples(task, "l", 10);
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().code == ErrorCode::kConflict);
    CHECK(wrong.error().ran == Ran::kNo);
    const auto stale = a.TakeSamples(task, "m", 11);
    REQUIRE(stale);
    CHECK(stale->at("samples").empty());
    CHECK(stale->at("remaining") == 3);
    CHECK(table.Rows("groups").size() == 2);
    CHECK_FALSE(a.notified_shards.empty());
    // Output that is already too stale is generated again until an engine has newer weights.
    std::size_t stale_runs = 0;
    a.generate = [&](Task&, const WorkRequest&) {
      return Instance::OutputOfVersion(++stale_runs <= 3 ? 10 : 12);
    };
    for (const auto& group : step.groups) REQUIRE(a.RunGroup(task, group.id));
    const auto fresh = a.TakeSamples(task, "n", 11);
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

TEST_CASE("a take commits only if the rows it read are unchanged", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 2);
  // Runs `change` once, between the reads of a take and its transaction.
  const auto change_during_take = [&](std::function<void()> change) {
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
      change_during_take([&] { put("trainers", "t", TrainerRecord{"t", "s", 12, 1}.Encode()); });
      const auto taken = a.TakeSamples(task, "k", 10);
      REQUIRE_FALSE(taken);
      CHECK(taken.error().code == ErrorCode::kConflict);
    }
    SECTION("a ready row") {
      change_during_take(
          [&] { REQUIRE(table.Apply(Transaction::Builder().Delete("ready", first).Build())); });
      const auto taken = a.TakeSamples(task, "k", 10);
      REQUIRE(taken);
      REQUIRE(taken->at("samples").size() == 1);
      CHECK(taken->at("samples")[0]["sample"] != first);
    }
    SECTION("the row of the take") {
      const TakeRecord other{"k", 1, {}, 7};
      change_during_take([&] { put("takes", "t/k", other.Encode()); });
      const auto taken = a.TakeSamples(task, "k", 10);
      REQUIRE(taken);
      CHECK(taken->at("remaining") == 7);
      CHECK(table.Rows("ready").size() == 2);
    }
    SECTION("the step's count of delivered samples") {
      change_during_take([&] {
        nlohmann::json value = table.Find("steps", "t/1")->value;
        value["taken"] = 1;
        put("steps", "t/1", value);
      });
      CHECK(a.TakeSamples(task, "k", 10, 1)->at("remaining") == 0);
    }
  });
}

TEST_CASE("without its lease an instance refuses a take as not run", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 1);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    a.lease = false;
    const auto refused = a.TakeSamples(task, "k", 10);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::kNoLease);
    CHECK(refused.error().ran == Ran::kNo);
    CHECK(table.Rows("takes").empty());
    table.down = true;
    const auto down = a.delivery.Run(task, {"t", "k", 1, 10, 64}, SteadyNow() + milliseconds(100));
    REQUIRE_FALSE(down);
    CHECK(down.error().ran == Ran::kNo);
  });
}

}  // namespace
}  // namespace anvilcroft::sample_tests
