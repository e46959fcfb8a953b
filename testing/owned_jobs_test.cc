// Tests the record of an owner's batch jobs.

#include "anvilcroft/owned_jobs.h"

#include <catch2/catch.hpp>
#include <set>

namespace anvilcroft {
namespace {

BatchHead HeadOf(const std::string& id) {
  BatchHead head;
  head.id = id;
  return head;
}

// Guards against running a job that was removed while its rows were being read (review/12).
TEST_CASE("the load of a removed job cannot be completed", "[owned_jobs]") {
  OwnedJobs jobs;
  const auto ended = jobs.BeginLoad(HeadOf("a"));
  REQUIRE(ended);
  CHECK(jobs.IsLoading("a"));
  CHECK(jobs.LoadingCount() == 1);
  CHECK(jobs.Ids() == std::vector<std::string>{"a"});
  CHECK(jobs.Loaded().empty());
  CHECK(jobs.BeginLoad(HeadOf("a")) == nullptr);

  SECTION("ended") { CHECK(jobs.Remove("a") == ended); }
  SECTION("dropped with all others") { CHECK(jobs.RemoveAll() == 1); }
  CHECK(ended->removed);
  CHECK_FALSE(jobs.CompleteLoad(ended));
  CHECK(jobs.Ids().empty());
  CHECK(jobs.Remove("a") == nullptr);

  // A later load of the same job does not revive the earlier one.
  const auto again = jobs.BeginLoad(HeadOf("a"));
  REQUIRE(again);
  CHECK_FALSE(again->removed);
  CHECK_FALSE(jobs.CompleteLoad(ended));
  CHECK(jobs.CompleteLoad(again));
  CHECK(jobs.Loaded().at("a") == again);
  CHECK_FALSE(jobs.CompleteLoad(again));
}

// Guards against runs that go on after their job was removed.
TEST_CASE("the removal of a loaded job cancels its runs", "[owned_jobs]") {
  OwnedJobs jobs;
  const auto job = jobs.BeginLoad(HeadOf("a"));
  const auto other = jobs.BeginLoad(HeadOf("b"));
  REQUIRE(jobs.CompleteLoad(job));
  job->items.resize(2);
  job->items[1].run = std::make_shared<Cancellation>();
  const auto run = job->items[1].run;
  CHECK(jobs.Ids() == std::vector<std::string>{"a", "b"});
  CHECK(jobs.BeginLoad(HeadOf("a")) == nullptr);

  CHECK(jobs.Remove("a") == job);
  CHECK(job->removed);
  CHECK(run->Cancelled());
  CHECK(jobs.Loaded().empty());
  CHECK_FALSE(other->removed);
  CHECK(jobs.CompleteLoad(other));
}

}  // namespace
}  // namespace anvilcroft
