// Tests what an instance states about the store's clock when answers of the store are slow, late or
// read after the process was stopped.

#include "anvilcroft/store_clock.h"

#include <catch2/catch.hpp>
#include <random>

#include "anvilcroft/batch_records.h"
#include "testing/process_site.h"

namespace anvilcroft {
namespace {

constexpr BootTime kStart = seconds(5000);

BootTime At(int64_t ms) { return kStart + milliseconds(ms); }

TEST_CASE("nothing is known of the store's clock before its first answer", "[store_clock]") {
  const StoreClock clock;
  CHECK_FALSE(clock.At(kStart).Known());
  CHECK(clock.At(kStart) == StoreTimeRange());
}

// Guards against an answer that waited while the process was stopped, and sets the clock back
// (review/8).
TEST_CASE("an answer that is read late does not set the clock back", "[store_clock]") {
  StoreClock clock;
  clock.Apply(1000, At(0), At(5));
  CHECK(clock.At(At(5)) == StoreTimeRange{1000, 1007});
  // Taken at 100, read after a stop of 3.5 s.
  clock.Apply(1100, At(95), At(3600));
  const StoreTimeRange range = clock.At(At(3600));
  CHECK(range.earliest >= 4590);
  CHECK(range.earliest <= 4600);
  CHECK(range.latest >= 4600);
  CHECK(range.latest <= 4610);
}

TEST_CASE("a first answer that is read late is safe at both ends", "[store_clock]") {
  StoreClock clock;
  clock.Apply(1100, At(95), At(3600));
  const StoreTimeRange range = clock.At(At(3600));
  CHECK(range.earliest <= 1100);
  CHECK(range.latest >= 4605);
}

TEST_CASE("a store whose clock has been set is followed", "[store_clock]") {
  StoreClock clock;
  clock.Apply(500000, At(0), At(5));
  clock.Apply(10, At(100), At(105));
  CHECK(clock.At(At(105)).latest < 1000);
  clock.Apply(700000, At(200), At(205));
  CHECK(clock.At(At(205)).earliest > 699000);
}

// Oracle: the true clock of the store. Answers take any time on each way, calls overlap, the
// process stops at any moment, and the clocks differ in rate.
TEST_CASE("the store's clock is always within the stated range", "[store_clock]") {
  std::mt19937_64 random(3);
  for (int round = 0; round < 200; ++round) {
    const double rate = 1 + (static_cast<double>(random() % 1800) - 900) / 1e6;
    const int64_t begin = static_cast<int64_t>(random() % 1000000);
    const auto store_at = [&](int64_t ms) {
      return begin + static_cast<int64_t>(rate * static_cast<double>(ms));
    };
    StoreClock clock;
    int64_t now = 0;
    for (int call = 0; call < 100; ++call) {
      const auto delay = [&random](int64_t usual, int64_t stopped) {
        return static_cast<int64_t>(random() % static_cast<uint64_t>(usual)) +
               (random() % 20 == 0 ? stopped : 0);
      };
      // A call may have been sent before the answer to the one before was read.
      const int64_t sent = std::max<int64_t>(0, now - delay(700, 0));
      const int64_t taken = sent + delay(600, 0);
      const int64_t read = std::max(now, taken + delay(10, 5000));
      clock.Apply(store_at(taken), At(sent), At(read));
      now = read + delay(50, 8000);
      const StoreTimeRange range = clock.At(At(now));
      REQUIRE(range.earliest <= store_at(now));
      REQUIRE(range.latest >= store_at(now));
    }
  }
}

// Guards against items that expire too early because their job was submitted to an instance that
// had just been resumed, and that took an old answer of the store for the present (review/8).
TEST_CASE("a batch job does not count from before its submission to a resumed instance",
          "[store_clock]") {
  soak::SiteOptions options;
  options.instances = 2;
  testing::ProcessSite processes(options);
  soak::Site& site = processes.site;
  testing::RunTask(processes.runtime, [&](Task& task) {
    REQUIRE(site.Start());
    processes.AwaitServing(task);
    int number = 0;
    for (soak::SoakInstance& instance : site.Instances()) {
      SleepUntil(task, SteadyNow() + milliseconds(1000));
      instance.process->Signal(SIGSTOP);
      SleepUntil(task, SteadyNow() + milliseconds(2500));
      const int64_t sent_at = site.Store().Server().ElapsedMillis();
      processes.runtime.Spawn([&instance](Task& later) {
        SleepUntil(later, SteadyNow() + milliseconds(300));
        instance.process->Signal(SIGCONT);
      });
      const std::string job = "job" + std::to_string(++number);
      fakes::StepShape shape;
      shape.item_prefix = job + "-";
      const auto accepted =
          processes.Send(task, instance.front, "/rollout/s", job, fakes::StepBody(shape));
      REQUIRE(accepted);
      REQUIRE(accepted->Status() == 202);
      const auto head = DecodeHead(job, site.Store().Value(HeadRow(job)));
      REQUIRE(head);
      CHECK(head->submitted_at >= sent_at);
      CHECK(head->submitted_at <= site.Store().Server().ElapsedMillis() + 1000);
    }
  });
}

}  // namespace
}  // namespace anvilcroft
