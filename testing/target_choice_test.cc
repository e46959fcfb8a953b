// Tests of the choice of targets and of their recorded load and health.

#include "anvilcroft/target_choice.h"

#include <catch2/catch.hpp>

namespace anvilcroft {
namespace {

const TimePoint kStart = TimePoint() + seconds(1000);

TargetEntry AppTarget(const std::string& id, const std::string& zone) {
  TargetEntry entry;
  entry.id = id;
  entry.service = "app";
  entry.zone = zone;
  entry.slots = 4;
  return entry;
}

// Load pattern: an engine refuses connections at once while all others are full.
TEST_CASE("a target without responses is tried at growing intervals", "[target_pool]") {
  TargetPool pool;
  pool.Apply(AppTarget("a", "z"), kStart);
  CHECK_FALSE(IsPaused(*pool.Find("a"), kStart));
  TimePoint now = kStart;
  int tries = 0;
  for (; now < kStart + seconds(4); now += milliseconds(10)) {
    if (IsPaused(*pool.Find("a"), now)) continue;
    ++tries;
    pool.OnRequestStarted("a");
    pool.OnRequestFinished("a", TargetOutcome::kNoResponse, milliseconds(1), now);
  }
  CHECK(tries >= 5);
  CHECK(tries <= 10);
  now += seconds(1);
  CHECK_FALSE(IsPaused(*pool.Find("a"), now));
  pool.OnRequestStarted("a");
  pool.OnRequestFinished("a", TargetOutcome::kServed, milliseconds(1), now);
  CHECK_FALSE(IsPaused(*pool.Find("a"), now));
}

// Load pattern: of four app engines, one does not respond, one fails some of its requests and one
// is full.
TEST_CASE("requests go to the target with the lowest expected latency", "[target_choice]") {
  TargetPool pool;
  for (const char* id : {"a", "b", "c", "d"}) pool.Apply(AppTarget(id, "z"), kStart);
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
  CHECK(ChooseTarget(pool.AcceptingTargets("app", kStart), context, kStart)->entry.id == "d");
  context.excluded = {"d"};
  CHECK(ChooseTarget(pool.AcceptingTargets("app", kStart), context, kStart) != nullptr);
  context.excluded = {"a", "b", "c", "d"};
  CHECK(ChooseTarget(pool.AcceptingTargets("app", kStart), context, kStart) == nullptr);
  // Recorded failures and load reports lose their weight: a minute later all are nearly equal.
  const TimePoint later = kStart + seconds(60);
  context.excluded.clear();
  const Duration fresh = ExpectedLatency(*pool.Find("d"), context, later);
  for (const char* id : {"a", "b", "c"}) {
    CHECK(ToMillis(ExpectedLatency(*pool.Find(id), context, later) - fresh) < 20);
  }
}

TEST_CASE("a target in the caller's zone is preferred until it is busy", "[target_choice]") {
  TargetPool pool;
  pool.Apply(AppTarget("far", "y"), kStart);
  pool.Apply(AppTarget("near", "z"), kStart);
  ChoiceContext context;
  context.zone = "z";
  CHECK(ChooseTarget(pool.AcceptingTargets("app", kStart), context, kStart)->entry.id == "near");
  for (int i = 0; i < 6; ++i) pool.OnRequestStarted("near");
  CHECK(ChooseTarget(pool.AcceptingTargets("app", kStart), context, kStart)->entry.id == "far");
}

TEST_CASE("targets leave at once, or after the grace of an outage", "[target_pool]") {
  TargetPool pool;
  pool.Apply(AppTarget("a", "z"), kStart);
  pool.Apply(AppTarget("b", "z"), kStart);
  pool.Remove("a", kStart, Duration::zero());
  CHECK(pool.Find("a") == nullptr);
  pool.Replace({}, kStart, seconds(2));
  pool.Expire(kStart + milliseconds(1900));
  CHECK(pool.Find("b") != nullptr);
  CHECK(pool.AcceptingTargets("app", kStart + milliseconds(1900)).size() == 1);
  CHECK(pool.AcceptingTargets("app", kStart + milliseconds(2000)).empty());
  pool.Apply(AppTarget("b", "z"), kStart + milliseconds(1950));
  pool.Expire(kStart + seconds(3));
  CHECK(pool.Find("b") != nullptr);
  TargetEntry draining = AppTarget("b", "z");
  draining.draining = true;
  pool.Apply(draining, kStart + seconds(4));
  CHECK(pool.AcceptingTargets("app", kStart).empty());
}

TEST_CASE("a restarted target has no history", "[target_pool]") {
  TargetPool pool;
  pool.Apply(AppTarget("a", "z"), kStart);
  pool.OnRequestStarted("a");
  pool.OnRequestFinished("a", TargetOutcome::kFailed, milliseconds(1), kStart);
  TargetEntry restarted = AppTarget("a", "z");
  restarted.started_at = 5;
  pool.Apply(restarted, kStart);
  CHECK(FailureProbability(*pool.Find("a"), kStart) < 0.05);
}

}  // namespace
}  // namespace anvilcroft
