// Guards the choice of targets and what is believed of them.

#include "anvilcroft/target_choice.h"

#include <catch2/catch.hpp>

namespace anvilcroft {
namespace {

const TimePoint kStart = TimePoint() + seconds(1000);

TargetEntry App(const std::string& id, const std::string& zone) {
  TargetEntry entry;
  entry.id = id;
  entry.service = "app";
  entry.zone = zone;
  entry.slots = 4;
  return entry;
}

// Load pattern: app targets of which one is silent, one fails part of its requests and one is full.
TEST_CASE("requests go to the target that is expected to answer first", "[target_choice]") {
  TargetPool pool;
  for (const char* id : {"a", "b", "c", "d"}) pool.Apply(App(id, "z"), kStart);
  for (int i = 0; i < 6; ++i) {
    pool.OnRequestStarted("a");
    pool.OnRequestFinished("a", i % 2 == 0 ? TargetOutcome::kFailed : TargetOutcome::kServed,
                           milliseconds(30), kStart);
  }
  pool.OnRequestStarted("b");
  pool.OnRequestFinished("b", TargetOutcome::kNoResponse, milliseconds(300), kStart);
  pool.OnLoadReport("c", LoadReport{4, 6, 4, 1}, kStart);
  ChoiceContext context;
  context.zone = "z";
  CHECK(ChooseTarget(pool.AcceptingTargets("app"), context, kStart)->entry.id == "d");
  context.excluded = {"d"};
  CHECK(ChooseTarget(pool.AcceptingTargets("app"), context, kStart) != nullptr);
  context.excluded = {"a", "b", "c", "d"};
  CHECK(ChooseTarget(pool.AcceptingTargets("app"), context, kStart) == nullptr);
  // Troubles fade: a minute later all are equal.
  const TimePoint later = kStart + seconds(60);
  context.excluded.clear();
  const Duration fresh = ExpectedLatency(*pool.Find("d"), context, later);
  for (const char* id : {"a", "b", "c"}) {
    CHECK(ToMillis(ExpectedLatency(*pool.Find(id), context, later) - fresh) < 20);
  }
}

TEST_CASE("a target in the caller's zone is preferred until it is busy", "[target_choice]") {
  TargetPool pool;
  pool.Apply(App("far", "y"), kStart);
  pool.Apply(App("near", "z"), kStart);
  ChoiceContext context;
  context.zone = "z";
  CHECK(ChooseTarget(pool.AcceptingTargets("app"), context, kStart)->entry.id == "near");
  for (int i = 0; i < 6; ++i) pool.OnRequestStarted("near");
  CHECK(ChooseTarget(pool.AcceptingTargets("app"), context, kStart)->entry.id == "far");
}

TEST_CASE("targets leave at once, or after the grace of an outage", "[target_pool]") {
  TargetPool pool;
  pool.Apply(App("a", "z"), kStart);
  pool.Apply(App("b", "z"), kStart);
  pool.Remove("a", kStart, Duration::zero());
  CHECK(pool.Find("a") == nullptr);
  pool.Replace({}, kStart, seconds(2));
  pool.Expire(kStart + milliseconds(1900));
  CHECK(pool.Find("b") != nullptr);
  pool.Apply(App("b", "z"), kStart + milliseconds(1950));
  pool.Expire(kStart + seconds(3));
  CHECK(pool.Find("b") != nullptr);
  TargetEntry draining = App("b", "z");
  draining.draining = true;
  pool.Apply(draining, kStart + seconds(4));
  CHECK(pool.AcceptingTargets("app").empty());
}

TEST_CASE("a new start of a target has no history", "[target_pool]") {
  TargetPool pool;
  pool.Apply(App("a", "z"), kStart);
  pool.OnRequestStarted("a");
  pool.OnRequestFinished("a", TargetOutcome::kFailed, milliseconds(1), kStart);
  TargetEntry restarted = App("a", "z");
  restarted.started_at = 5;
  pool.Apply(restarted, kStart);
  CHECK(FailureProbability(*pool.Find("a"), kStart) < 0.05);
}

}  // namespace
}  // namespace anvilcroft
