// Tests which training steps are deferred when the engines cannot finish all of them in time. Each
// test replays the load that it guards against.

#include "anvilcroft/sharing/step_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace anvilcroft {
namespace {

OpenStep Step(std::size_t key, int due_ms, double work_ms, int priority = 0) {
  OpenStep step;
  step.key = key;
  step.pool = "model";
  step.priority = priority;
  step.due_in = milliseconds(due_ms);
  step.time_limit = milliseconds(7500);
  step.work_ms = work_ms;
  step.longest_ms = 1000;
  return step;
}

using Keys = std::vector<std::size_t>;

TEST_CASE("no step is deferred while all can be in time", "[sharing]") {
  const std::vector<OpenStep> steps = {Step(1, 7500, 100000), Step(2, 6000, 100000),
                                       Step(3, 4000, 30000, 1)};
  CHECK(DeferredSteps(steps, "model", 60).empty());
  CHECK(DeferredSteps({Step(1, 100, 1e9)}, "model", 60).empty());
  CHECK(DeferredSteps(steps, "other", 1).empty());
  CHECK(DeferredSteps(steps, "model", 0).empty());
}

// Guards against half served steps: of three steps that need one and a half times the slots, two
// are in time and one is late, instead of three that are late.
TEST_CASE("of too many steps the one that is due last is deferred as a whole", "[sharing]") {
  const std::vector<OpenStep> steps = {Step(1, 7500, 250000), Step(2, 6000, 200000),
                                       Step(3, 7000, 200000)};
  CHECK(DeferredSteps(steps, "model", 60) == Keys{1});
}

TEST_CASE("a less urgent step is deferred before a more urgent one that is due later",
          "[sharing]") {
  const std::vector<OpenStep> steps = {Step(1, 5000, 250000, 1), Step(2, 7500, 350000)};
  CHECK(DeferredSteps(steps, "model", 60) == Keys{1});
}

// Guards against work that is certain to be late and takes the slots of work that can be in time.
TEST_CASE("a step that cannot be in time comes behind those that can", "[sharing]") {
  const std::vector<OpenStep> steps = {Step(1, 1000, 300000), Step(2, 7500, 400000)};
  CHECK(DeferredSteps(steps, "model", 60) == Keys{1});
  OpenStep long_item = Step(3, 3000, 10000);
  long_item.longest_ms = 4000;
  CHECK(DeferredSteps({long_item, Step(2, 7500, 440000)}, "model", 60) == Keys{3});
}

TEST_CASE("a step that has been deferred for long takes its turn", "[sharing]") {
  OpenStep late = Step(1, -500, 200000);
  late.deferred_for = milliseconds(16000);
  CHECK(DeferredSteps({late, Step(2, 7500, 400000)}, "model", 60) == Keys{2});
  late.deferred_for = milliseconds(14000);
  CHECK(DeferredSteps({late, Step(2, 7500, 400000)}, "model", 60) == Keys{1});
}

// Replays three trainers on slots for two: each trainer submits its next step once the former one
// is whole, and a step has value only if it is whole within 7.5 s. Compares with equal shares.
struct ReplayResult {
  std::map<std::size_t, int> in_time;  // by trainer
  int total = 0;
};

ReplayResult Replay(bool defer, double slots, const std::vector<double>& work_ms) {
  constexpr double kTickMs = 50;
  constexpr double kTimeLimitMs = 7500;
  constexpr double kPeriodMs = 4000;
  struct Trainer {
    double asked_at = 0;
    double left_ms = 0;
    double deferred_ms = 0;
  };
  std::vector<Trainer> trainers(work_ms.size());
  for (std::size_t i = 0; i < trainers.size(); ++i) trainers[i].left_ms = work_ms[i];
  ReplayResult result;
  for (double now = 0; now < 120000; now += kTickMs) {
    std::vector<OpenStep> open;
    for (std::size_t i = 0; i < trainers.size(); ++i) {
      if (trainers[i].asked_at > now) continue;
      OpenStep step =
          Step(i, static_cast<int>(trainers[i].asked_at + kTimeLimitMs - now), trainers[i].left_ms);
      step.longest_ms = 0;
      step.deferred_for = milliseconds(static_cast<int>(trainers[i].deferred_ms));
      open.push_back(step);
    }
    const Keys deferred = defer ? DeferredSteps(open, "model", static_cast<int>(slots)) : Keys();
    for (const std::size_t key : deferred) trainers[key].deferred_ms += kTickMs;
    double room = slots * kTickMs;
    for (const bool late : {false, true}) {
      std::vector<std::size_t> served;
      for (const OpenStep& step : open) {
        const bool is_late = std::count(deferred.begin(), deferred.end(), step.key) != 0;
        if (is_late == late) served.push_back(step.key);
      }
      const double share = served.empty() ? 0 : room / static_cast<double>(served.size());
      for (const std::size_t key : served) {
        const double used = std::min(share, trainers[key].left_ms);
        trainers[key].left_ms -= used;
        room -= used;
      }
    }
    for (std::size_t i = 0; i < trainers.size(); ++i) {
      Trainer& trainer = trainers[i];
      if (trainer.asked_at > now || trainer.left_ms > 0) continue;
      if (now - trainer.asked_at <= kTimeLimitMs) {
        ++result.in_time[i];
        ++result.total;
        trainer.deferred_ms = 0;
      }
      trainer.asked_at = std::max(now, trainer.asked_at + kPeriodMs);
      trainer.left_ms = work_ms[i];
    }
  }
  return result;
}

// Guards against equal shares that make every step late, and against a trainer that is deferred for
// good.
TEST_CASE("three trainers on slots for three quarters of their work keep steps in time",
          "[sharing]") {
  const std::vector<double> work = {216000, 200000, 184000};
  // All three together take 10 s, so with equal shares none is whole in time.
  const ReplayResult shared = Replay(false, 60, work);
  const ReplayResult ordered = Replay(true, 60, work);
  INFO("with equal shares " << shared.total << ", with deferred steps " << ordered.total);
  CHECK(ordered.total > shared.total);
  // Half of the steps for which the slots have time.
  CHECK(ordered.total >= 18);
  for (std::size_t trainer = 0; trainer < work.size(); ++trainer) {
    INFO("trainer " << trainer);
    REQUIRE(ordered.in_time.count(trainer) == 1);
    CHECK(4 * 3 * ordered.in_time.at(trainer) >= ordered.total);
  }
}

}  // namespace
}  // namespace anvilcroft
