// Tests the production of samples: output without known weight versions, stragglers, slow former
// owners, samples that are marked for regeneration while their group finishes, and repeated steps.

#include <memory>

#include "testing/sample_fixture.h"

namespace anvilcroft::sample_tests {
namespace {

TEST_CASE("a slow former owner does not complete a delivered sample again", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  Instance b(runtime, table, 2);
  const auto step = MakeStep(1, 2);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    bool blocked = true;
    b.generate = [&](Task& inner, const WorkRequest&) {
      while (blocked) SleepUntil(inner, SteadyNow() + milliseconds(1));
      return Instance::OutputOfVersion(10);
    };
    bool ended = false;
    runtime.Spawn([&](Task& inner) {
      CHECK(b.RunGroup(inner, step.groups[0].id));
      ended = true;
    });
    REQUIRE(Eventually(task, [&] { return b.requests.size() == 2; }));
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    REQUIRE(a.TakeSamples(task, "k", 10)->at("samples").size() == 2);
    blocked = false;
    REQUIRE(Eventually(task, [&] { return ended; }));
    CHECK(table.Rows("ready").empty());
    CHECK(a.TakeSamples(task, "l", 10)->at("samples").empty());
  });
}

TEST_CASE("a sample marked for regeneration while its group finishes is run again", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 2);
  const GroupId& id = step.groups[0].id;
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    // Marks a stale sample for regeneration as a take does, between the last read of the rows and
    // the removal of the group's marker.
    table.before_commit = [&](const Transaction& transaction) {
      if (transaction.Writes()[0].table != "groups") return;
      table.before_commit = nullptr;
      SampleRecord record;
      record.state = SampleRecord::State::kRegenerate;
      REQUIRE(table.Apply(Transaction::Builder()
                              .Delete("ready", id.SampleKey(1))
                              .Put("samples", id.SampleKey(1), record.Encode())
                              .Put("groups", id.MarkerKey(), id.Encode())
                              .Build()));
    };
    REQUIRE(a.RunGroup(task, id));
    const auto taken = a.TakeSamples(task, "k", 10);
    REQUIRE(taken);
    REQUIRE(taken->at("samples").size() == 2);
    CHECK(taken->at("samples")[1]["attempt"] == 2);
  });
}

TEST_CASE("output without known weight versions is generated again", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 1);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    int runs = 0;
    const nlohmann::json body = {{"text", "ab"}, {"tokens", {1, 2, 3}}};
    a.generate = [&](Task&, const WorkRequest&) -> Result<WorkResult> {
      CHECK(table.Rows("samples").empty());
      ++runs;
      if (runs == 1) return Instance::MakeResult(body, {});
      if (runs == 2) return Instance::MakeResult(body, {{10, 2}});
      return Instance::OutputOfVersion(10);
    };
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(runs == 3);
    CHECK(a.TakeSamples(task, "k", 10)->at("samples").size() == 1);
  });
}

TEST_CASE("engines whose weights are too old get no samples until the observation expires",
          "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 4);
  const TimePoint start = SteadyNow();
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step, 1);
    REQUIRE(a.store.PutTrainer(task, {"t", "s", 20, 1}, SteadyNow() + kCallTimeout));
    // An observation that does not expire during the test, however slow the machine is.
    a.context.versions.Observe("old", 18, start + std::chrono::hours(1));
    a.generate = [&](Task&, const WorkRequest& request) -> Result<WorkResult> {
      CHECK(request.Excluded() == std::set<std::string>{"old"});
      return Instance::OutputOfVersion(20);
    };
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(a.requests.size() == 8);
    // The spans of an output are an observation of its engine's version too.
    CHECK(a.context.versions.EnginesOlderThan(21, start) == std::set<std::string>{"old", "t"});
    CHECK(a.context.versions.EnginesOlderThan(20, start) == std::set<std::string>{"old"});
    a.context.versions.Observe("u", 3, start);
    CHECK(a.context.versions.EnginesOlderThan(4, start + seconds(3)).count("u") == 1);
    CHECK(a.context.versions.EnginesOlderThan(4, start + seconds(4)).count("u") == 0);
  });
}

TEST_CASE("output that is already too stale is not judged", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 1);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step, 1);
    int runs = 0;
    a.generate = [&](Task&, const WorkRequest&) {
      return Instance::OutputOfVersion(++runs == 1 ? 9 : 10);
    };
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(runs == 2);
    CHECK(a.requests.size() == 3);
  });
}

TEST_CASE("a straggler is reissued once on another target and delivered once", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  Instance a(runtime, table, 1);
  const auto step = MakeStep(1, 8);
  RunInTask(runtime, [&](Task& task) {
    Submit(task, a, step);
    int runs = 0;
    std::shared_ptr<Cancellation> slow;
    a.generate = [&](Task& inner, const WorkRequest& request) -> Result<WorkResult> {
      if (++runs == 3) {
        slow = request.CancellationToken();
        REQUIRE(Eventually(inner, [&] { return slow->Cancelled(); }));
        // The cancelled copy may still finish; its output must not be delivered too.
        return Instance::OutputOfVersion(9);
      }
      if (!request.Excluded().empty()) {
        CHECK(request.Excluded() == std::set<std::string>{"first-target"});
      }
      return Instance::OutputOfVersion(10);
    };
    REQUIRE(a.RunGroup(task, step.groups[0].id));
    CHECK(runs == 9);
    CHECK(a.context.budget.Reissued() == 1);
    const auto taken = a.TakeSamples(task, "k", 10);
    REQUIRE(taken);
    CHECK(taken->at("samples").size() == 8);
    for (const auto& sample : taken->at("samples")) {
      CHECK(sample["weight_versions"][1]["version"] == 10);
    }
  });
}

TEST_CASE("at most one in twenty started samples is reissued", "[samples]") {
  StragglerBudget budget;
  int64_t reissued = 0;
  for (int started = 1; started <= 1000; ++started) {
    budget.CountStarted();
    reissued += budget.TryConsume() ? 1 : 0;
    REQUIRE(reissued * 20 < started + 20);
  }
  CHECK(reissued == 50);
}

TEST_CASE("a repeated step changes nothing, and a different one is refused", "[samples]") {
  Runtime runtime;
  MemoryTable table(runtime, 3);
  Instance a(runtime, table, 1);
  // More groups than fit into one transaction, so that faults hit several transactions.
  const auto step = MakeStep(250, 1);
  RunInTask(runtime, [&](Task& task) {
    table.fault_rate = 0.5;
    Submit(task, a, step);
    table.fault_rate = 0;
    CHECK(table.Rows("groups").size() == 250);
    const auto version = table.Find("groups", step.groups[7].id.MarkerKey())->version;
    CHECK(a.store.SubmitStep(task, step, SteadyNow() + kCallTimeout));
    CHECK(table.Find("groups", step.groups[7].id.MarkerKey())->version == version);
    const auto other = a.store.SubmitStep(task, MakeStep(250, 2), SteadyNow() + kCallTimeout);
    REQUIRE_FALSE(other);
    CHECK(other.error().code == ErrorCode::kConflict);
    const auto lower = a.store.PutTrainer(task, {"t", "s", 9, 2}, SteadyNow() + kCallTimeout);
    REQUIRE_FALSE(lower);
    CHECK(lower.error().code == ErrorCode::kStaleVersion);
  });
}

}  // namespace
}  // namespace anvilcroft::sample_tests
