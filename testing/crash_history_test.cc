// Tests the decision whether a request under which targets crashed may be sent again.

#include "anvilcroft/crash_history.h"

#include <catch2/catch.hpp>

namespace anvilcroft {
namespace {

using Verdict = CrashDecision::Verdict;

const TimePoint kStart = TimePoint(seconds(100000));

void AddCrashes(CrashHistory& history, const std::string& request, int count, TimePoint at) {
  for (int i = 0; i < count; ++i) history.AddCrash(request, "e" + std::to_string(i) + "@1", at);
}

// Replays a caller that sends a crashing request ten times a second for ten minutes.
TEST_CASE("a request that crashes every target reaches five targets", "[crash]") {
  CrashHistory history;
  int runs = 0;
  int late_retries = 0;
  TimePoint third;
  for (TimePoint now = kStart; now < kStart + std::chrono::minutes(10); now += milliseconds(100)) {
    const CrashDecision decision = history.Decide("r", now);
    if (decision.verdict == Verdict::kRefused) {
      CHECK(decision.retry_after > Duration::zero());
      continue;
    }
    if (decision.verdict == Verdict::kTrial) history.AddTrial("r", decision.trial, now);
    history.AddCrash("r", "e@" + std::to_string(++runs), now);
    if (runs == 3) third = now;
    if (runs > 3 && now > third + seconds(3)) ++late_retries;
  }
  CHECK(runs == 5);
  CHECK(late_retries == 2);
}

// Replays a series of crashes, one each 0.4 s, under a request that does no harm.
TEST_CASE("a sound request is tried again after a series of crashes", "[crash]") {
  CrashHistory history;
  AddCrashes(history, "r", 4, kStart);
  CHECK(history.Decide("r", kStart + milliseconds(4999)).verdict == Verdict::kRefused);
  CHECK(history.Decide("r", kStart).retry_after == CrashHistory::kTrialPause);
  const CrashDecision trial = history.Decide("r", kStart + CrashHistory::kTrialPause);
  CHECK(trial.verdict == Verdict::kTrial);
  CHECK(trial.trial == 1);
  history.AddTrial("r", 1, kStart + seconds(5));
  CHECK(history.Decide("r", kStart + seconds(6)).verdict == Verdict::kRefused);
  history.Forget("r");
  CHECK(history.Decide("r", kStart + seconds(6)).verdict == Verdict::kAllowed);
  CHECK(history.Empty());
}

TEST_CASE("each start of a target counts as one crash, and each request has its own", "[crash]") {
  CrashHistory history;
  CHECK(history.AddCrash("r", "e1@1", kStart));
  CHECK_FALSE(history.AddCrash("r", "e1@1", kStart));
  history.AddCrash("r", "e1@2", kStart);
  CHECK(history.Decide("r", kStart).verdict == Verdict::kAllowed);
  history.AddCrash("r", "e2@1", kStart);
  CHECK(history.Decide("r", kStart).verdict == Verdict::kRefused);
  CHECK(history.Decide("other", kStart).verdict == Verdict::kAllowed);
  history.RemoveCrash("r", "e2@1");
  CHECK(history.Decide("r", kStart).verdict == Verdict::kAllowed);
}

TEST_CASE("crashes are forgotten after their lifetime, and the oldest when there are too many",
          "[crash]") {
  CrashHistory history;
  AddCrashes(history, "old", 3, kStart);
  history.AddTrial("old", 1, kStart);
  history.AddTrial("old", 2, kStart);
  const TimePoint later = kStart + CrashHistory::kLifetime;
  CHECK(history.Decide("old", later - seconds(1)).verdict == Verdict::kRefused);
  CHECK(history.Decide("old", later).verdict == Verdict::kAllowed);
  for (std::size_t i = 0; i < CrashHistory::kMaxRequests; ++i) {
    history.AddCrash("r" + std::to_string(i), "e@1", kStart + seconds(1));
  }
  CHECK(history.Size() == CrashHistory::kMaxRequests);
  CHECK(history.Crashes("old") == 0);
  history.Expire(later + seconds(2));
  CHECK(history.Empty());
}

}  // namespace
}  // namespace anvilcroft
