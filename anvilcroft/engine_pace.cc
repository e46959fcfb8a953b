#include "anvilcroft/engine_pace.h"

#include <algorithm>

namespace anvilcroft {
namespace {

using Millis = std::chrono::duration<double, std::milli>;

// Relative increase of the time for an event from an empty to a full engine.
constexpr double kFullLoadSlowdown = 0.35;
// An engine is in a slow phase if its events take this many times the normal time. Above the
// effect of load and of single late packets.
constexpr double kSlowFactor = 1.6;
// Weights of the newest event in the moving averages. Events that are faster than normal count
// more, so that a first estimate from a slow phase is corrected soon.
constexpr double kRecentWeight = 0.25;
constexpr double kNormalWeight = 0.02;
constexpr double kFasterWeight = 0.1;
constexpr double kSlowWeight = 0.002;
// Events further apart belong to different phases of work.
constexpr Duration kRecentGap = milliseconds(500);

double Average(double before, double value, double weight) {
  return before == 0 ? value : before * (1 - weight) + value * weight;
}

}  // namespace

double LoadFactor(double load) { return 1 + kFullLoadSlowdown * std::min(1.0, load); }

PaceForecast AfterSilence(PaceForecast forecast, Duration silence) {
  const double silent_ms = Millis(silence).count();
  if (silent_ms <= kSlowFactor * std::max(forecast.event_ms, forecast.slow_event_ms)) {
    return forecast;
  }
  forecast.slow_event_ms = silent_ms;
  forecast.slow_left_ms = std::max(forecast.slow_left_ms, silent_ms);
  return forecast;
}

double TimeForEventsMs(const PaceForecast& forecast, double events, double load) {
  const double factor = LoadFactor(load);
  if (forecast.slow_left_ms <= 0) return events * forecast.event_ms * factor;
  const double slow_ms = std::max(forecast.event_ms, forecast.slow_event_ms) * factor;
  // A part of an event that the phase ends in takes the rest of the phase.
  const double in_phase = std::min(events, forecast.slow_left_ms / slow_ms);
  return in_phase * slow_ms + (events - in_phase) * forecast.event_ms * factor;
}

void EnginePace::Record(Duration duration, double load, TimePoint now) {
  const double ms = Millis(duration).count() / LoadFactor(load);
  const bool follows = now - duration - this->last_event < kRecentGap;
  this->recent_ms = Average(follows ? this->recent_ms : 0, ms, kRecentWeight);
  const bool slow_now = this->normal_ms > 0 && this->recent_ms > kSlowFactor * this->normal_ms;
  if (slow_now && !this->slow) this->slow_since = now - duration;
  this->slow = slow_now;
  this->normal_ms = Average(this->normal_ms, ms,
                            slow_now               ? kSlowWeight
                            : ms < this->normal_ms ? kFasterWeight
                                                   : kNormalWeight);
  this->last_event = now;
}

PaceForecast EnginePace::ForecastAt(TimePoint now) const {
  PaceForecast forecast;
  forecast.event_ms = this->normal_ms;
  if (!this->slow) return forecast;
  const Millis lasted = this->last_event - this->slow_since;
  const Millis left = lasted - (now - this->last_event);
  if (left.count() <= 0) return forecast;
  forecast.slow_event_ms = this->recent_ms;
  forecast.slow_left_ms = left.count();
  return forecast;
}

}  // namespace anvilcroft
