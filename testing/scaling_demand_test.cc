// Tests the number of engines that submitted steps need.

#include "anvilcroft/scaling/scaling_demand.h"

#include <catch2/catch.hpp>

namespace anvilcroft {
namespace {

const TimePoint kStart = TimePoint() + seconds(1000);

TEST_CASE("the need grows with the work and with the time for an event", "[scaling]") {
  IntervalDemand demand;
  demand.events = 7440;
  demand.longest_events = 159;
  demand.due = milliseconds(7500);
  const int usual = RequiredEngines(demand, 27, 6);
  CHECK(usual >= 20);
  CHECK(usual <= 24);
  CHECK(RequiredEngines(demand, 40, 6) > usual);
  demand.events *= 2;
  CHECK(RequiredEngines(demand, 27, 6) >= 2 * usual - 1);
  demand.events = 0;
  CHECK(RequiredEngines(demand, 27, 6) == 0);
}

TEST_CASE("jobs that a trainer submits at once are added, consecutive steps are not", "[scaling]") {
  DemandWindow window;
  window.Record({"1", "m", kStart, 100, 10, seconds(7)});
  window.Record({"1", "m", kStart, 100, 10, seconds(7)});
  window.Record({"2", "m", kStart + seconds(4), 60, 12, seconds(6)});
  window.Record({"3", "m", kStart + seconds(5), 60, 12, seconds(7)});
  const IntervalDemand demand = SummarizeDemand(window.Steps());
  CHECK(demand.events == 120);
  CHECK(demand.longest_events == 12);
  CHECK(demand.due == seconds(6));
  window.Expire(kStart + seconds(31));
  CHECK(window.Steps().size() == 2);
}

}  // namespace
}  // namespace anvilcroft
