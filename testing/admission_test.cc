// Tests of admission control, the retry budget, the crash guard, the division of suspects, the
// latency window, the SSE parser and the spans of engine output.

#include "anvilcroft/admission.h"

#include <catch2/catch.hpp>
#include <random>

#include "anvilcroft/crash_guard.h"
#include "anvilcroft/engine_output.h"
#include "anvilcroft/latency_window.h"
#include "anvilcroft/retry_budget.h"
#include "anvilcroft/sse_parser.h"
#include "anvilcroft/suspect_target.h"
#include "testing/routing_fixture.h"

namespace anvilcroft::testing {
namespace {

AdmissionRequest Request(Priority priority, bool short_work, Duration time = seconds(20)) {
  AdmissionRequest request;
  request.priority = priority;
  request.short_work = short_work;
  request.deadline = SteadyNow() + time;
  return request;
}

// Guards against short work that waits behind long work.
TEST_CASE("long work does not use the slots reserved for short work", "[admission]") {
  Runtime runtime;
  Admission admission(AdmissionLimits{4, 10, 0.5});
  RunTask(runtime, [&](Task& task) {
    const auto enter = [&](bool short_work) {
      return admission.Enter(task, Request(Priority::kNormal, short_work, milliseconds(10)),
                             SteadyNow());
    };
    auto one = enter(false);
    auto two = enter(false);
    REQUIRE(one);
    REQUIRE(two);
    CHECK_FALSE(enter(false));
    const auto three = enter(true);
    const auto four = enter(true);
    CHECK(three);
    CHECK(four);
    const auto five = enter(true);
    REQUIRE_FALSE(five);
    CHECK(five.error().ran == Ran::kNo);
    CHECK(admission.Queued() == 0);
    one = Result<AdmissionPermit>();
    CHECK(enter(false));
  });
  CHECK(admission.InFlight() == 0);
}

// Guards against serving low priority first, and against an unbounded queue.
TEST_CASE("the queue is ordered by priority, then arrival, and evicts its last request when full",
          "[admission]") {
  Runtime runtime;
  Admission admission(AdmissionLimits{1, 3, 0});
  std::string order;
  std::string evicted;
  RunTask(runtime, [&](Task& task) {
    auto held = admission.Enter(task, Request(Priority::kNormal, false), SteadyNow());
    int ended = 0;
    const auto start = [&](char name, Priority priority) {
      runtime.Spawn([&, name, priority](Task& other) {
        const auto permit = admission.Enter(other, Request(priority, false), SteadyNow());
        (permit ? order : evicted) += name;
        ++ended;
      });
      SleepUntil(task, SteadyNow());
    };
    start('a', Priority::kLow);
    start('b', Priority::kNormal);
    start('c', Priority::kNormal);
    start('d', Priority::kHigh);  // evicts a
    start('e', Priority::kLow);   // refused: the queue is full
    CHECK(WaitUntil(task, [&] { return evicted == "ae"; }));
    CHECK(admission.Queued() == 3);
    held = Result<AdmissionPermit>();
    CHECK(WaitUntil(task, [&] { return ended == 5; }));
  });
  CHECK(order == "dbc");
  CHECK(admission.InFlight() == 0);
}

// Guards against queueing requests that cannot be served before their deadline.
TEST_CASE("a request whose expected wait exceeds its deadline is refused at once", "[admission]") {
  Runtime runtime;
  Admission admission(AdmissionLimits{1, 10, 0});
  RunTask(runtime, [&](Task& task) {
    {
      const auto permit = admission.Enter(task, Request(Priority::kNormal, false), SteadyNow());
      SleepUntil(task, SteadyNow() + milliseconds(300));
    }
    const auto held = admission.Enter(task, Request(Priority::kNormal, false), SteadyNow());
    const TimePoint before = SteadyNow();
    const auto refused =
        admission.Enter(task, Request(Priority::kNormal, false, milliseconds(200)), before);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::kOverloaded);
    CHECK(refused.error().ran == Ran::kNo);
  });
}

// Guards the window and the reserve under random arrivals, hold times and priorities.
TEST_CASE("the window is never exceeded and every slot is released", "[admission]") {
  Runtime runtime;
  std::mt19937_64 random(9);
  Admission admission(AdmissionLimits{5, 20, 0.4});
  int long_now = 0;
  int all_now = 0;
  int ended = 0;
  constexpr int kRequests = 300;
  RunTask(runtime, [&](Task& task) {
    for (int i = 0; i < kRequests; ++i) {
      runtime.Spawn([&, priority = static_cast<Priority>(random() % 3),
                     short_work = random() % 2 == 0, hold = random() % 8](Task& other) {
        const auto permit = admission.Enter(other, Request(priority, short_work), SteadyNow());
        if (permit) {
          all_now += 1;
          long_now += short_work ? 0 : 1;
          CHECK(all_now <= 5);
          CHECK(long_now <= 3);
          SleepUntil(other, SteadyNow() + milliseconds(hold));
          all_now -= 1;
          long_now -= short_work ? 0 : 1;
        }
        ++ended;
      });
      if (random() % 4 == 0) SleepUntil(task, SteadyNow() + milliseconds(3));
    }
    CHECK(WaitUntil(task, [&] { return ended == kRequests; }));
  });
  CHECK(admission.InFlight() == 0);
  CHECK(admission.Queued() == 0);
}

// Guards against retries that multiply the load on a failing service.
TEST_CASE("retries stay within their fraction of the requests", "[admission]") {
  RetryBudget budget(0.1, 5);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    while (budget.TryConsume()) ++retries;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 105);
}

// Guards against a request that crashes one target after another, and against unbounded memory for
// crash counts.
TEST_CASE("two crashes block a request for ten minutes, within bounded memory", "[admission]") {
  const TimePoint start = SteadyNow();
  std::vector<int64_t> broadcasts;
  CrashGuard guard(
      [&](const std::string&, int64_t crashes, int64_t) { broadcasts.push_back(crashes); });
  const std::string bad = CrashGuard::Fingerprint("s", "o", "body");
  CHECK(bad != CrashGuard::Fingerprint("so", "", "body"));
  guard.AddCrash(bad, "e0@1", start);
  CHECK(guard.Check(bad, start));
  guard.AddCrash(bad, "e1@1", start + seconds(10));
  CHECK(broadcasts == std::vector<int64_t>{1, 2});
  REQUIRE_FALSE(guard.Check(bad, start + seconds(20)));
  CHECK(guard.Check(bad, start + seconds(20)).error().ran == Ran::kNo);
  CHECK_FALSE(guard.Check(bad, start + seconds(600)));
  CHECK(guard.Check(bad, start + seconds(611)));

  guard.Merge("peer", 1, 600000, start);
  guard.AddCrash("peer", "e0@1", start);
  CHECK_FALSE(guard.Check("peer", start));
  guard.Merge("absurd", INT64_MAX, INT64_MAX, start);
  CHECK(guard.Check("absurd", start + CrashGuard::kTtl));
  for (int i = 0; i < 1000; ++i) guard.AddCrash(std::to_string(i), "e0@1", start + milliseconds(i));
  CHECK(guard.Size() == CrashGuard::kMaxEntries);
  CHECK(guard.Count("999", start + seconds(2)) == 1);
}

// Guards against refusing a request because its targets were unreachable for a moment, or because
// two requests with the same body ran on the one target that crashed.
TEST_CASE("a crash counts once for each run, and not if the run answers again", "[admission]") {
  const TimePoint start = SteadyNow();
  std::vector<int64_t> broadcasts;
  CrashGuard guard(
      [&](const std::string&, int64_t crashes, int64_t) { broadcasts.push_back(crashes); });
  guard.AddCrash("f", "e0@1", start);
  guard.AddCrash("f", "e0@1", start);
  CHECK(guard.Count("f", start) == 1);
  CHECK_FALSE(guard.RefusalPending("f", start));
  guard.AddCrash("f", "e1@1", start + seconds(1));
  CHECK(guard.RefusalPending("f", start + seconds(1)));
  CHECK_FALSE(guard.RefusalPending("f", start + seconds(1) + CrashGuard::kCrashConfirmTime));
  guard.WithdrawCrash("e1@2");  // another run: the crash of run 1 still counts
  CHECK(guard.Count("f", start + seconds(1)) == 2);
  guard.WithdrawCrash("e0@1");
  CHECK(guard.Check("f", start + seconds(1)));
  CHECK(guard.Count("f", start + seconds(1)) == 1);
  guard.WithdrawCrash("e1@1");
  CHECK(guard.Size() == 0);
  CHECK(broadcasts == std::vector<int64_t>{1, 2, 0});

  guard.Merge("f", 1, 600000, start);
  guard.AddCrash("f", "e2@1", start);
  CHECK_FALSE(guard.Check("f", start));
  guard.Merge("f", 0, 600000, start);
  CHECK(guard.Check("f", start));
  guard.ClearCrashes("f");
  CHECK(guard.Size() == 0);
}

// Guards against two suspects of different instances on one target: its crash would count against
// both, although only one of them caused it.
TEST_CASE("each target runs the suspects of one instance", "[admission]") {
  const auto member = [](const std::string& id) { return Member::Builder().SetId(id).Build(); };
  const std::vector<Member> serving = {member("b"), member("a"), member("c")};
  const std::vector<std::string> targets = {"t2", "t0", "t3", "t1"};
  for (const std::string& target : targets) {
    int owners = 0;
    for (const Member& one : serving) owners += RunsSuspectsOn(serving, one.Id(), targets, target);
    CHECK(owners == 1);
  }
  for (const Member& one : serving) {
    int two = 0;
    for (const std::string target : {"t0", "t1"}) {
      two += RunsSuspectsOn(serving, one.Id(), {"t0", "t1"}, target);
    }
    CHECK(two == 1);
  }
  CHECK(SuspectTurn(serving, "a") == 0);
  CHECK(SuspectTurn(serving, "c") == 2);
  CHECK(RunsSuspectsOn(serving, "gone", targets, "t0"));
  CHECK(RunsSuspectsOn({}, "a", targets, "t0"));
}

// Guards against a quantile from too few latencies or from old ones.
TEST_CASE("the quantile needs enough latencies and follows new ones", "[admission]") {
  LatencyWindow window;
  for (int i = 1; i < 20; ++i) window.Add(milliseconds(i));
  CHECK_FALSE(window.Quantile(0.95));
  for (int i = 20; i <= 100; ++i) window.Add(milliseconds(i));
  CHECK(window.Quantile(0.95) == milliseconds(95));
  for (int i = 0; i < 300; ++i) window.Add(milliseconds(7));
  CHECK(window.Quantile(0.95) == milliseconds(7));
}

// Guards against events that are lost or merged where the input is split between reads.
TEST_CASE("parsed events do not depend on how the input is split", "[admission]") {
  const std::string_view input =
      ": comment\r\ndata: one\r\n\r\nevent: error\ndata: {\"a\":1}\ndata: two\n\n\n\ndata:three\n\n"
      "id: 7\n\ndata: open";
  const std::vector<SseEvent> expected = {{"", "one"}, {"error", "{\"a\":1}\ntwo"}, {"", "three"}};
  std::mt19937_64 random(2);
  for (int round = 0; round < 500; ++round) {
    SseParser parser;
    std::vector<SseEvent> events;
    for (std::size_t at = 0; at < input.size();) {
      const std::size_t length = 1 + random() % (round + 1);
      const auto got = parser.Feed(input.substr(at, length));
      REQUIRE(got);
      events.insert(events.end(), got->begin(), got->end());
      at += length;
    }
    REQUIRE(events == expected);
  }
  SseParser parser;
  CHECK(parser.Feed("data: " + std::string(SseParser::kMaxEventBytes, 'x')).error().code ==
        ErrorCode::kTooLarge);
}

// Guards against reporting wrong weight versions (invariant 1 of docs/invariants.md): if the final
// spans of an engine contradict the versions of its tokens, the versions of the output are unknown.
TEST_CASE("final spans must agree with the versions of the tokens", "[admission]") {
  const auto check = [](const std::vector<WeightSpan>& named, int64_t own) {
    EngineOutput output;
    for (const int64_t version : {1, 1, 2, 2, 2}) output.Add(0, "x", version);
    output.CheckFinalSpans(named, own);
    return output.Spans();
  };
  const std::vector<WeightSpan> joined = {{1, 2}, {2, 3}};
  CHECK(check({{1, 2}, {2, 3}}, 5) == joined);
  CHECK(check({{2, 2}}, 2) == joined);          // spans of the last engine's tokens only
  CHECK(check({{1, 2}, {2, 3}}, 2) == joined);  // spans of all tokens, though it generated two
  CHECK(check({{2, 5}}, 5).empty());
  CHECK(check({{1, 1}, {2, 3}}, 5).empty());
  CHECK(check({}, 3).empty());
}

}  // namespace
}  // namespace anvilcroft::testing
