// Tests of the swap schedule. They guard against more engines that swap at once than allowed, and
// more downloads per second than the weight store permits, for services of up to 13 engines.

#include "anvilcroft/swap_schedule.h"

#include <catch2/catch.hpp>
#include <vector>

namespace anvilcroft {
namespace {

SwapSchedule MakeSchedule(int engines, double max_swapping, double rate, Duration swap_time) {
  return SwapSchedule::Builder()
      .SetEngines(engines)
      .SetMaxSwapping(max_swapping)
      .SetDownloadsPerSecond(rate)
      .SetSwapTime(swap_time)
      .Build();
}

TEST_CASE("no more engines than allowed hold a slot at any time", "[swap_schedule]") {
  for (int engines = 1; engines <= 13; ++engines) {
    for (const double max_swapping : {0.01, 0.1, 0.25, 0.34, 0.5, 1.0}) {
      for (const double rate : {0.2, 1.0, 4.0, 100.0}) {
        for (const Duration swap : {Duration(milliseconds(100)), Duration(seconds(4))}) {
          const auto schedule = MakeSchedule(engines, max_swapping, rate, swap);
          const auto allowed =
              std::max<int64_t>(1, static_cast<int64_t>(max_swapping * engines + 1e-9));
          CAPTURE(engines, max_swapping, rate);
          REQUIRE(schedule.MaxConcurrentSwaps() == allowed);
          const int64_t slots = 4 * engines + 3;
          for (int64_t i = 0; i < slots; ++i) {
            // Number of slots still held when slot i starts: those that started less than one
            // spacing earlier, and slot i itself.
            int64_t holding = 1;
            for (int64_t j = 0; j < i; ++j) {
              holding += schedule.SlotStart(j) + schedule.Spacing() > schedule.SlotStart(i);
            }
            REQUIRE(holding <= allowed);
            const Duration step = schedule.SlotStart(i + 1) - schedule.SlotStart(i);
            REQUIRE(step >=
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate)));
          }
        }
      }
    }
  }
}

// Searches all slots of the engine in order, as a reference for NextStart.
Duration NextStartOracle(const SwapSchedule& schedule, int engines, int rank, Duration now) {
  int64_t index = rank;
  while (schedule.SlotStart(index) + schedule.StartGrace() <= now) index += engines;
  return std::max(schedule.SlotStart(index), now);
}

TEST_CASE("the next start is the first usable slot of the engine", "[swap_schedule]") {
  for (int engines = 1; engines <= 7; ++engines) {
    for (const double max_swapping : {0.1, 0.25, 0.5, 1.0}) {
      for (const double rate : {0.3, 2.0, 50.0}) {
        const auto schedule = MakeSchedule(engines, max_swapping, rate, seconds(4));
        for (int rank = 0; rank < engines; ++rank) {
          for (int64_t ms = 0; ms < 120000; ms += 1370) {
            CAPTURE(engines, max_swapping, rate, rank, ms);
            REQUIRE(schedule.NextStart(rank, milliseconds(ms)) ==
                    NextStartOracle(schedule, engines, rank, milliseconds(ms)));
          }
        }
      }
    }
  }
}

TEST_CASE("the next start is near even long after the publication", "[swap_schedule]") {
  const auto schedule = MakeSchedule(7, 0.3, 4, seconds(4));
  const Duration now = std::chrono::hours(24 * 365 * 56);
  for (int rank = 0; rank < 7; ++rank) {
    const Duration start = schedule.NextStart(rank, now);
    CHECK(start >= now);
    CHECK(start - now <= 8 * schedule.Spacing());
  }
}

TEST_CASE("a service of 8 or 9 engines has swapped within 25 s", "[swap_schedule]") {
  for (const int engines : {8, 9}) {
    const auto schedule = MakeSchedule(engines, 0.25, 4, SwapSchedule::kSwapTime);
    const Duration last = schedule.SlotStart(engines - 1) + schedule.Spacing();
    CHECK(last <= seconds(25));
  }
}

}  // namespace
}  // namespace anvilcroft
