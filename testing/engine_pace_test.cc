// Tests the estimate of an engine's pace, and that running items leave an engine for its pace only
// if the move pays. Each test replays the pattern of slow phases that it guards against.

#include "anvilcroft/engine_pace.h"

#include <catch2/catch.hpp>

#include "anvilcroft/straggler_plan.h"

namespace anvilcroft {
namespace {

TimePoint At(int64_t millis) { return TimePoint() + seconds(1000) + milliseconds(millis); }

// Records events that take `event_ms` each from `from` to `to`, in ms.
void RecordEvents(EnginePace& pace, int64_t event_ms, int64_t from, int64_t to) {
  for (int64_t at = from + event_ms; at <= to; at += event_ms) {
    pace.Record(milliseconds(event_ms), 0, At(at));
  }
}

// Returns whether an item with `events_left` leaves an engine with `pace` for an idle one.
bool Moves(const PaceForecast& pace, double events_left, Duration silence = milliseconds(0)) {
  PlacementEngine engine;
  engine.id = "slow";
  engine.service = "model";
  engine.slots = 8;
  engine.running = 1;
  engine.pace = pace;
  engine.versions = {{"m", 1}};
  PlacementEngine idle = engine;
  idle.id = "idle";
  idle.running = 0;
  idle.pace = PaceForecast{40, 0, 0};
  RunningItem item;
  item.engine = "slow";
  item.services = TrafficSplit::Builder().Add("model").Build();
  item.model = "m";
  item.events_left = events_left;
  item.events_here = 10;
  item.since_event = silence;
  return !PlanMoves({item}, {engine, idle}).empty();
}

// Guards against moves for a hiccup: one late packet, or a slow phase of a fraction of a second,
// is over before the item has started on another engine.
TEST_CASE("an item stays on an engine that is slow for a moment", "[pace][stragglers]") {
  EnginePace pace;
  RecordEvents(pace, 40, 0, 2000);
  CHECK(pace.ForecastAt(At(2000)) == PaceForecast{40, 0, 0});
  pace.Record(milliseconds(85), 0, At(2085));
  CHECK(pace.ForecastAt(At(2085)).slow_left_ms == 0);
  CHECK_FALSE(Moves(pace.ForecastAt(At(2085)), 150));
  CHECK_FALSE(Moves(pace.ForecastAt(At(2085)), 150, milliseconds(90)));
  EnginePace noisy;
  RecordEvents(noisy, 40, 0, 2000);
  RecordEvents(noisy, 100, 2000, 2300);
  CHECK_FALSE(Moves(noisy.ForecastAt(At(2300)), 150));
  RecordEvents(noisy, 100, 2300, 2900);
  CHECK_FALSE(Moves(noisy.ForecastAt(At(2900)), 150));
}

// Guards against long items that move from engine to engine because the others are idle and seem a
// little faster: the load passes, and each move costs a prompt.
TEST_CASE("an item stays on an engine that is full or a little slower", "[pace][stragglers]") {
  CHECK_FALSE(Moves({44, 0, 0}, 180));
  CHECK_FALSE(Moves({50, 0, 0}, 180));
  CHECK(Moves({60, 0, 0}, 180));
}

// Guards against an item that decides the length of its step on an engine that stays slow.
TEST_CASE("a long item leaves an engine that stays slow", "[pace][stragglers]") {
  EnginePace pace;
  RecordEvents(pace, 40, 0, 2000);
  RecordEvents(pace, 140, 2000, 3400);
  const PaceForecast forecast = pace.ForecastAt(At(3400));
  CHECK(forecast.slow_event_ms == Approx(140).epsilon(0.1));
  CHECK(forecast.slow_left_ms > 1000);
  CHECK(Moves(forecast, 100));
  CHECK_FALSE(Moves(forecast, 3));  // done before it could start elsewhere
}

// Guards against new items on an engine whose slow phase has no events to show it: between two
// steps no items run.
TEST_CASE("a slow phase is remembered as long as it has lasted", "[pace]") {
  EnginePace pace;
  RecordEvents(pace, 40, 0, 2000);
  RecordEvents(pace, 140, 2000, 4100);
  CHECK(pace.ForecastAt(At(5000)).slow_left_ms > 500);
  CHECK(pace.ForecastAt(At(7000)).slow_left_ms == 0);
  CHECK(pace.ForecastAt(At(7000)).event_ms == Approx(40).epsilon(0.1));
}

// Guards against a wrong normal pace because the first events came in a slow phase, and against
// load that is taken for slowness.
TEST_CASE("the normal pace follows from fast events and is independent of load", "[pace]") {
  EnginePace pace;
  RecordEvents(pace, 120, 0, 1200);
  RecordEvents(pace, 40, 1200, 4000);
  CHECK(pace.NormalMs() == Approx(40).epsilon(0.1));
  EnginePace loaded;
  for (int i = 1; i <= 50; ++i) {
    const double load = i % 2 == 0 ? 1 : 0;
    loaded.Record(milliseconds(i % 2 == 0 ? 54 : 40), load, At(50 * i));
  }
  CHECK(loaded.NormalMs() == Approx(40).epsilon(0.05));
  CHECK(loaded.ForecastAt(At(2500)).slow_left_ms == 0);
}

TEST_CASE("the time for events counts the slow phase and then the normal pace", "[pace]") {
  CHECK(TimeForEventsMs({40, 0, 0}, 10, 0) == Approx(400));
  CHECK(TimeForEventsMs({40, 0, 0}, 10, 1) == Approx(400 * LoadFactor(1)));
  CHECK(TimeForEventsMs({40, 100, 500}, 10, 0) == Approx(500 + 5 * 40));
  CHECK(TimeForEventsMs({40, 100, 5000}, 10, 0) == Approx(1000));
  CHECK(AfterSilence({40, 0, 0}, milliseconds(50)) == PaceForecast{40, 0, 0});
  CHECK(AfterSilence({40, 0, 0}, milliseconds(400)) == PaceForecast{40, 400, 400});
  // A silent engine is expected to stay silent for as long as it has been.
  CHECK(TimeForEventsMs(AfterSilence({40, 0, 0}, milliseconds(400)), 10, 0) ==
        Approx(400 + 9 * 40));
}

}  // namespace
}  // namespace anvilcroft
