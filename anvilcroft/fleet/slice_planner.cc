#include "anvilcroft/fleet/slice_planner.h"

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr Duration kInterval = milliseconds(250);
constexpr Duration kCallTimeout = milliseconds(500);
constexpr Duration kOutcomePause = milliseconds(50);

}  // namespace

void SlicePlanner::Start() {
  this->runtime.SpawnService("slice plan", [this](Task& task) { this->Run(task); });
}

void SlicePlanner::Run(Task& task) {
  while (true) {
    SleepUntil(task, SteadyNow() + kInterval);
    // The plan that the lease was acquired under is known once orders are allowed.
    if (!this->lease.Held().MayOrderAt(BootNow())) {
      this->timer.Reset();
      continue;
    }
    const SlicePlan& current = this->view.Plan();
    if (!this->view.CheckPeers(BootNow())) {
      this->timer.Reset();
      // An instance of a build without slices may become the owner of all engines.
      if (current.Sliced()) this->Change(task, SlicePlan());
      continue;
    }
    const SlicePlan wanted = PlanSlices(current, this->sizes(), this->per_slice);
    if (!this->timer.ShouldChange(current, wanted, SteadyNow())) continue;
    const int64_t before = this->view.Generation();
    this->Change(task, wanted);
    // A renewal of the lease at the same time makes the change fail; it is repeated then.
    if (this->view.Generation() != before) this->timer.RecordChange(SteadyNow());
  }
}

void SlicePlanner::Change(Task& task, const SlicePlan& plan) {
  const RowId row = SliceView::Row();
  const std::string value = EncodePlan(plan);
  const int64_t lease_version = this->lease.RowVersion();
  const RowBatch batch = RowBatch::Builder()
                             .Expect(this->lease.Row(), lease_version)
                             .Expect(row, this->view.Generation())
                             .Put(row, value)
                             .Build();
  LogInfo("slices", "changing the slice plan",
          {{"from", std::to_string(this->view.Plan().count)},
           {"to", std::to_string(plan.count)},
           {"plan", value}});
  this->view.SetChanging(true);
  const auto written = this->store.Commit(task, batch, SteadyNow() + kCallTimeout);
  if (written && written->committed) {
    this->apply(StoredRow{row, value, written->version, false});
  } else if (!written && written.error().ran != Ran::kNo) {
    this->AwaitOutcome(task, lease_version);
  }
  this->view.SetChanging(false);
}

void SlicePlanner::AwaitOutcome(Task& task, int64_t lease_version) {
  LogWarning("slices", "a change of the slice plan got no answer; waiting for its outcome");
  const int64_t fencing = this->lease.Held().fencing;
  // A lease that is lost meanwhile allows no orders, and its next acquisition needs the plan.
  while (this->lease.Held().fencing == fencing) {
    if (this->lease.RowVersion() != lease_version) {
      RowRange range;
      range.table = SliceView::Row().table;
      range.from = SliceView::Row().key;
      range.max_rows = 1;
      const auto read = this->store.Read(task, range, SteadyNow() + kCallTimeout);
      if (read) {
        if (!read->rows.empty() && read->rows.front().id.key == range.from) {
          this->apply(read->rows.front());
        }
        return;
      }
    }
    SleepUntil(task, SteadyNow() + kOutcomePause);
  }
}

}  // namespace anvilcroft
