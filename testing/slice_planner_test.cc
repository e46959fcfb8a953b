// Tests the change of the slice plan and the leases of slices on a store in memory that applies
// transactions late or without an answer.

#include "anvilcroft/fleet/slice_planner.h"

#include <catch2/catch.hpp>
#include <map>

#include "testing/run_task.h"

namespace anvilcroft {
namespace {

class MemoryStore : public MetadataStore {
 public:
  explicit MemoryStore(Runtime& runtime) : runtime(runtime) {}

  Result<CommitResult> Commit(Task& task, const RowBatch& batch, TimePoint deadline) override {
    const bool plan = !batch.Writes().empty() && batch.Writes().front().first == SliceView::Row();
    if (!plan || !this->lose_plan_answers) return this->Apply(batch);
    this->lose_plan_answers = false;
    this->runtime.Spawn([this, batch, at = SteadyNow() + this->apply_after](Task& later) {
      SleepUntil(later, at);
      this->late_commit = this->Apply(batch).committed;
    });
    SleepUntil(task, deadline);
    return Fail(ErrorCode::kOutcomeUnknown, "no answer", "", Ran::kUnknown);
  }
  Result<RangeResult> Read(Task&, const RowRange& range, TimePoint) override {
    RangeResult result;
    for (const auto& [id, row] : this->rows) {
      if (id.table != range.table || id.key < range.from) continue;
      if (static_cast<int64_t>(result.rows.size()) < range.max_rows) result.rows.push_back(row);
    }
    result.version = this->version;
    return result;
  }
  Result<std::vector<std::string>> Partitions(Task&, const std::string&, const std::string&,
                                              TimePoint) override {
    return std::vector<std::string>();
  }
  Result<FeedResult> Feed(Task&, const std::string&, int64_t, Duration) override {
    return FeedResult();
  }
  StoreTimeRange StoreTime(BootTime) const override { return {}; }
  TimePoint LastAnswer() const override { return SteadyNow(); }
  TimePoint LastFailure() const override { return TimePoint(); }

  CommitResult Apply(const RowBatch& batch) {
    CommitResult result;
    result.committed = true;
    for (const auto& [id, expected] : batch.Conditions()) {
      const StoredRow row =
          this->rows.count(id) != 0 ? this->rows[id] : StoredRow{id, "", 0, false};
      result.committed = result.committed && row.version == expected;
      result.current.push_back(row);
    }
    if (result.committed) {
      ++this->version;
      for (const auto& [id, value] : batch.Writes()) {
        this->rows[id] = StoredRow{id, value, this->version, false};
      }
    }
    result.version = this->version;
    return result;
  }
  int64_t Version(const RowId& id) {
    return this->rows.count(id) == 0 ? 0 : this->rows[id].version;
  }

  Runtime& runtime;
  std::map<RowId, StoredRow> rows;
  int64_t version = 10;
  bool lose_plan_answers = false;  // of the next change of the plan
  Duration apply_after = milliseconds(50);
  std::optional<bool> late_commit;  // whether a change without an answer was applied
};

SlicePlan TwoSlices() {
  SlicePlan plan;
  plan.count = 2;
  plan.families = {SliceFamily{0, 2, {"a"}, {"m"}}};
  return plan;
}

// A planner with its lease, and the lease of slice 1, of one instance.
struct PlannerFixture {
  PlannerFixture()
      : store(this->runtime),
        first(
            this->runtime, this->store, Settings(0), [] { return 0; }, [] {}),
        second(
            this->runtime, this->store, Settings(1), [] { return 0; }, [] {}),
        planner(
            this->runtime, this->store, this->view, this->first, 2,
            [this] {
              return std::vector<ServiceSize>{{"a", this->engines, {"m"}}};
            },
            [this](const StoredRow& row) { this->view.Apply(row, BootNow()); }) {
    this->first.SetGuard([this] { return this->view.Guard(); }, false);
    this->second.SetGuard([this] { return this->view.Guard(); }, true);
    this->second.SetInUse([this] { return this->view.Plan().count > 1; });
  }
  ~PlannerFixture() { this->runtime.EndTasks(); }

  static LeaseSettings Settings(int slice) {
    LeaseSettings settings;
    settings.key = SliceLeaseKey(slice);
    settings.self = "one";
    settings.lease_duration = seconds(1);
    settings.renewal_interval = milliseconds(100);
    return settings;
  }
  void Await(Task& task, const std::string& what, const std::function<bool()>& condition) {
    INFO(what);
    REQUIRE(testing::WaitUntil(task, condition, seconds(20)));
  }

  Runtime runtime;
  MemoryStore store;
  SliceView view{true, seconds(1)};
  LeaseKeeper first;
  LeaseKeeper second;
  int engines = 4;
  SlicePlanner planner;
};

}  // namespace

// Guards against a holder that orders engines which the plan, changed without an answer, has given
// to another one.
TEST_CASE("a change of the plan without an answer blocks orders until its outcome is known",
          "[slices]") {
  PlannerFixture fixture;
  fixture.store.lose_plan_answers = true;
  fixture.store.apply_after = Duration::zero();
  testing::RunTask(fixture.runtime, [&](Task& task) {
    fixture.first.Start();
    fixture.planner.Start();
    fixture.Await(task, "the change was applied",
                  [&] { return fixture.store.late_commit.has_value(); });
    CHECK(*fixture.store.late_commit);
    CHECK_FALSE(fixture.view.Plan().Sliced());
    CHECK_FALSE(fixture.view.MayOrderAt(0, BootNow()));
    fixture.Await(task, "the plan is known", [&] {
      const bool known = fixture.view.Plan() == TwoSlices();
      CHECK_FALSE(fixture.view.MayOrderAt(0, BootNow()));
      return known;
    });
    CHECK(fixture.view.Generation() == fixture.store.Version(SliceView::Row()));
    fixture.Await(task, "orders are allowed again",
                  [&] { return fixture.view.MayOrderAt(0, BootNow()); });
    CHECK(BootNow() >= fixture.view.SeenAt() + seconds(1));
    CHECK(fixture.first.Held().fencing > fixture.view.Generation());
  });
}

// Guards against a change that is applied after the holder has gone on without it.
TEST_CASE("a change of the plan that arrives late fails once the lease was renewed", "[slices]") {
  PlannerFixture fixture;
  fixture.store.lose_plan_answers = true;
  fixture.store.apply_after = milliseconds(1500);
  testing::RunTask(fixture.runtime, [&](Task& task) {
    fixture.first.Start();
    fixture.planner.Start();
    fixture.Await(task, "the change has arrived",
                  [&] { return fixture.store.late_commit.has_value(); });
    CHECK_FALSE(*fixture.store.late_commit);
    fixture.Await(task, "the plan is changed by another attempt",
                  [&] { return fixture.view.Plan() == TwoSlices(); });
    CHECK(fixture.view.Generation() == fixture.store.Version(SliceView::Row()));
  });
}

// Guards against a lease that goes on under a plan which has been replaced, and against a fencing
// token that an engine from another slice refuses.
TEST_CASE("leases of slices end with their plan and are acquired anew under the next one",
          "[slices]") {
  PlannerFixture fixture;
  const auto put_plan = [&](const SlicePlan& plan) {
    fixture.store.Apply(RowBatch::Builder().Put(SliceView::Row(), EncodePlan(plan)).Build());
  };
  const auto see_plan = [&] {
    fixture.view.Apply(fixture.store.rows.at(SliceView::Row()), BootNow());
  };
  testing::RunTask(fixture.runtime, [&](Task& task) {
    put_plan(TwoSlices());
    // Without the plan no instance may become the owner of all engines.
    fixture.first.Start();
    fixture.second.Start();
    SleepUntil(task, SteadyNow() + milliseconds(700));
    CHECK(fixture.first.Held().fencing == 0);
    CHECK(fixture.second.Held().fencing == 0);
    see_plan();
    fixture.Await(task, "both leases are held", [&] {
      return fixture.first.Held().ValidAt(BootNow()) && fixture.second.Held().ValidAt(BootNow());
    });
    const int64_t before = fixture.second.Held().fencing;
    SlicePlan next = TwoSlices();
    next.families.front().models.insert("n");
    put_plan(next);
    const BootTime changed_at = BootNow();
    fixture.Await(task, "the lease under the old plan has expired",
                  [&] { return !fixture.second.Held().ValidAt(BootNow()); });
    CHECK(BootNow() < changed_at + milliseconds(600));
    CHECK(fixture.second.Held().fencing == before);  // the runs go on until the new plan is known
    see_plan();
    fixture.Await(task, "the lease is held anew",
                  [&] { return fixture.second.Held().ValidAt(BootNow()); });
    CHECK(fixture.second.Held().fencing > fixture.view.Generation());
    fixture.Await(task, "so is that of slice 0",
                  [&] { return fixture.first.Held().fencing > fixture.view.Generation(); });
    put_plan(SlicePlan());
    see_plan();
    fixture.Await(task, "slice 1 is released", [&] { return fixture.second.Held().fencing == 0; });
    SleepUntil(task, SteadyNow() + milliseconds(300));
    const auto record = DecodeOwner(fixture.store.rows.at({"lease", "", SliceLeaseKey(1)}).value);
    CHECK(record->holder.empty());
  });
}

}  // namespace anvilcroft
