// Guards the production of samples: samples without known weight versions, stragglers, owners that
// are slow or gone, samples set back while their group ends, and repeated steps.

#include <memory>

#include "testing/sample_fixture.h"

namespace anvilcroft::sample_tests {
namespace {

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
    CHECK(a.context.versions.EnginesOlderThan(21, start) == std::set<std::string>{"old", "t"});
    CHECK(a.context.versions.EnginesOlderThan(20, start) == std::set<std::string>{"old"});
    a.context.versions.Observe("u", 3, start);
    CHECK(a.context.versions.EnginesOlderThan(4, start + seconds(3)).count("u") == 1);
    CHECK(a.context.versions.EnginesOlderThan(4, start + seconds(4)).count("u") == 0);
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
        slow = request.CancellationToken();
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
    budget.CountStarted();
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
    table.fault_rate = 0.5;
    Submit(task, a, step);
    table.fault_rate = 0;
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

}  // namespace
}  // namespace anvilcroft::sample_tests
