// Tests batch jobs that end, or whose owner changes, while their rows are read from the store.

#include <algorithm>
#include <catch2/catch.hpp>

#include "anvilcroft/batch_records.h"
#include "anvilcroft/fleet/slice_view.h"
#include "anvilcroft/owner_lease.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

constexpr char kLeaseTable[] = "lease";
constexpr char kOwnerLease[] = "batch-owner";

class JobEndFixture : public PlatformFixture {
 public:
  JobEndFixture() : engine(this->AddEngine("i-1")) {}

  void Submit(Task& task, const FrontInstance& instance, const std::string& job,
              const std::string& prefix, int groups) {
    const auto accepted =
        this->Send(task, instance.FrontAddress(), "POST", "/rollout/s", job, Step(prefix, groups));
    REQUIRE(accepted);
    REQUIRE(accepted->Status() == 202);
  }

  void End(Task& task, const FrontInstance& instance, const std::string& job) {
    const auto ended =
        this->Send(task, instance.FrontAddress(), "DELETE", "/api/lots/" + job, job + "-end");
    REQUIRE(ended);
    REQUIRE(ended->Status() == 200);
  }

  // Submits a job and waits until its owner reads the items, which it gets only after
  // ReleaseReads().
  void SubmitAndHoldLoad(Task& task, const FrontInstance& instance, const std::string& job,
                         const std::string& prefix) {
    this->store.HoldReads(kBatchItemTable, job);
    this->Submit(task, instance, job, prefix, 4);
    this->Await(task, "the owner reads the items", [&] { return this->store.HeldReads() > 0; });
  }

  // Lets the owner read on, runs another job to its end, and checks that no item whose id begins
  // with `prefix` was run.
  void CheckNotRun(Task& task, const FrontInstance& instance, const std::string& prefix) {
    this->store.ReleaseReads();
    this->Submit(task, instance, "later", "y", 4);
    CHECK(this->AwaitResults(task, instance.FrontAddress(), "later", 8)["Results"].size() == 8);
    SleepUntil(task, SteadyNow() + seconds(1));  // longer than the pause of a load that failed
    CHECK(std::none_of(this->engine.started.begin(), this->engine.started.end(),
                       [&](const std::string& item) { return item.rfind(prefix, 0) == 0; }));
  }

  void PutLease(const std::string& holder, int64_t term) {
    OwnerRecord record;
    record.holder = holder;
    record.term = term;
    this->store.Put(kLeaseTable, kOwnerLease, EncodeOwner(record));
  }

  fakes::PlatformEngine& engine;
};

// Guards against running a job whose end the feed did not bring because the store had lost its
// history, and which was still being loaded when the open jobs were listed again (review/12).
TEST_CASE("a job that ends during its load is not run if the store has lost its history",
          "[job_end]") {
  JobEndFixture fixture;
  fixture.Run([&](Task& task) {
    const auto [owner, other] = fixture.AddOwnerAndSuccessor(task);
    fixture.SubmitAndHoldLoad(task, other, "job1", "x");
    fixture.store.SetFeedsSilent(true);
    fixture.End(task, other, "job1");
    fixture.store.DropHistory();
    const int listed = fixture.store.PartitionLists(kBatchOpenTable);
    fixture.store.SetFeedsSilent(false);
    fixture.Await(task, "the owner lists the open jobs again",
                  [&] { return fixture.store.PartitionLists(kBatchOpenTable) > listed; });
    fixture.CheckNotRun(task, other, "x");
  });
}

// Guards against running a job that ended while its owner had lost the lease, for less time than
// one call of the job's load took.
TEST_CASE("a job that ends during its load is not run if the lease was lost meanwhile",
          "[job_end]") {
  JobEndFixture fixture;
  FrontInstance& owner = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, owner);
    fixture.Await(task, "the instance owns the jobs", [&] { return owner.OwnsBatchJobs(); });
    fixture.SubmitAndHoldLoad(task, owner, "job1", "x");
    const int held = fixture.store.HeldReads();
    fixture.Await(task, "another read of the load begins",
                  [&] { return fixture.store.HeldReads() > held; });
    fixture.PutLease("gone", 100);
    fixture.Await(task, "the lease is lost", [&] { return !owner.HoldsLease(); });
    fixture.End(task, owner, "job1");
    fixture.PutLease("", 101);
    fixture.Await(task, "the lease is back", [&] { return owner.OwnsBatchJobs(); });
    fixture.CheckNotRun(task, owner, "x");
  });
}

// Guards against jobs that nobody runs: all jobs were dropped while the heads of the open jobs were
// being read, and those whose heads had been read before were not loaded again.
TEST_CASE("jobs that are dropped while the open jobs are read are loaded again", "[job_end]") {
  JobEndFixture fixture;
  fixture.engines_per_slice = 80;
  fixture.engine.event_time = milliseconds(50);
  FrontInstance& owner = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, owner);
    fixture.Await(task, "the instance owns the jobs", [&] { return owner.OwnsBatchJobs(); });
    fixture.Submit(task, owner, "job1", "x", 10);
    fixture.Await(task, "the job runs", [&] { return !fixture.engine.started.empty(); });
    fixture.store.HoldReads(kBatchHeadTable, "job2");
    fixture.Submit(task, owner, "job2", "y", 2);
    fixture.store.DropHistory();
    fixture.Await(task, "the owner reads the open jobs again",
                  [&] { return fixture.store.HeldReads() > 0; });
    // A new plan of slices makes the owner drop all jobs.
    fixture.store.Put(SliceView::Row().table, SliceView::Row().key, EncodePlan(SlicePlan()));
    fixture.Await(task, "the jobs are dropped", [&] { return !fixture.engine.cancelled.empty(); });
    fixture.store.ReleaseReads();
    CHECK(fixture.AwaitResults(task, owner.FrontAddress(), "job1", 20)["Results"].size() == 20);
    CHECK(fixture.AwaitResults(task, owner.FrontAddress(), "job2", 4)["Results"].size() == 4);
  });
}

}  // namespace
}  // namespace anvilcroft
