#include "anvilcroft/swap_schedule.h"

#include <algorithm>
#include <cmath>

namespace anvilcroft {

Duration SwapSchedule::SlotStart(int64_t index) const {
  // If the download rate is low enough, starts at that rate already keep slots that must not
  // overlap at least `spacing` apart.
  if (this->interval * this->max_concurrent >= this->spacing) return this->interval * index;
  const int64_t wave = index / this->max_concurrent;
  return this->spacing * wave + this->interval * (index % this->max_concurrent);
}

Duration SwapSchedule::NextStart(int64_t rank, Duration since_published) const {
  const Duration elapsed = std::max(since_published, Duration::zero());
  // Starts the search shortly before the slot that starts about now.
  const bool paced = this->interval * this->max_concurrent >= this->spacing;
  const int64_t current =
      paced ? elapsed / this->interval : (elapsed / this->spacing) * this->max_concurrent;
  const int64_t first = std::max<int64_t>(rank, current - 2 * this->max_concurrent);
  int64_t index = rank + (first - rank) / this->engines * this->engines;
  while (this->SlotStart(index) + this->start_grace <= elapsed) index += this->engines;
  return std::max(this->SlotStart(index), elapsed);
}

SwapSchedule::Builder& SwapSchedule::Builder::SetEngines(std::size_t value) {
  this->engines = value;
  return *this;
}

SwapSchedule::Builder& SwapSchedule::Builder::SetMaxSwapping(double value) {
  this->max_swapping = value;
  return *this;
}

SwapSchedule::Builder& SwapSchedule::Builder::SetDownloadsPerSecond(double value) {
  this->downloads_per_second = value;
  return *this;
}

SwapSchedule::Builder& SwapSchedule::Builder::SetSwapTime(Duration value) {
  this->swap_time = value;
  return *this;
}

SwapSchedule SwapSchedule::Builder::Build() const {
  SwapSchedule schedule;
  schedule.engines = std::max<int64_t>(1, static_cast<int64_t>(this->engines));
  const double part = this->max_swapping * static_cast<double>(schedule.engines);
  // The small addend keeps 0.1 * 10 from rounding down to 0.
  schedule.max_concurrent = std::max<int64_t>(1, static_cast<int64_t>(std::floor(part + 1e-9)));
  const double interval_us = std::ceil(1e6 / std::max(this->downloads_per_second, 0.001));
  schedule.interval = microseconds(static_cast<int64_t>(interval_us));
  schedule.start_grace = std::min(kMaxStartGrace, this->swap_time);
  schedule.spacing = schedule.start_grace + this->swap_time;
  return schedule;
}

}  // namespace anvilcroft
