#ifndef ANVILCROFT_ENGINE_PACE_H_
#define ANVILCROFT_ENGINE_PACE_H_

// The pace of one model engine, estimated from the events of its runs.
//
// Load pattern: an engine shares its machine, so it becomes several times slower, often for a
// fraction of a second and sometimes for many seconds. How long a slow phase still lasts cannot be
// observed. A phase that has lasted for some time is expected to last for the same time again, so
// short phases cause no moves and long ones keep new items away.
//
//   EnginePace pace;
//   pace.Record(now - last_event, load, now);  // for each event
//   const PaceForecast forecast = pace.ForecastAt(now);

#include <tuple>

#include "anvilcroft/time.h"

namespace anvilcroft {

// Time for an event on an engine of which the share `load` of the slots is in use, relative to the
// time on an idle engine.
double LoadFactor(double load);

// Expected times for an event on an otherwise idle engine, in ms.
struct PaceForecast {
  double event_ms = 0;       // outside of slow phases; 0: not known
  double slow_event_ms = 0;  // in the current slow phase
  double slow_left_ms = 0;   // expected rest of the current slow phase; 0: there is none

  friend bool operator==(const PaceForecast& a, const PaceForecast& b) {
    return std::tie(a.event_ms, a.slow_event_ms, a.slow_left_ms) ==
           std::tie(b.event_ms, b.slow_event_ms, b.slow_left_ms);
  }
  friend bool operator!=(const PaceForecast& a, const PaceForecast& b) { return !(a == b); }
};

// Returns `forecast` for an engine whose last event is `silence` ago: a silence beyond the usual
// time is a slow phase.
PaceForecast AfterSilence(PaceForecast forecast, Duration silence);

// Expected time for `events` events on an engine of which the share `load` of the slots is in use,
// in ms.
double TimeForEventsMs(const PaceForecast& forecast, double events, double load);

class EnginePace {
 public:
  // Records an event that came `duration` after the one before it, while the share `load` of the
  // engine's slots was in use.
  void Record(Duration duration, double load, TimePoint now);

  PaceForecast ForecastAt(TimePoint now) const;

  // Expected time for an event on an otherwise idle engine outside of slow phases, in ms; 0: no
  // event has been recorded.
  double NormalMs() const { return this->normal_ms; }

 private:
  double normal_ms = 0;
  double recent_ms = 0;  // average over the last few events
  bool slow = false;     // recent_ms is that of a slow phase
  TimePoint slow_since;  // start of the slow phase
  TimePoint last_event;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_PACE_H_
