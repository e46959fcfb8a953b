#ifndef ANVILCROFT_SWAP_SCHEDULE_H_
#define ANVILCROFT_SWAP_SCHEDULE_H_

// Schedules when each engine of a service may start to swap weights after a publication. Every
// engine owner computes the same schedule from the same list of engines, so they exchange no
// messages.
//
//   SwapSchedule schedule = SwapSchedule::Builder().SetEngines(8).SetMaxSwapping(0.25)
//       .SetDownloadsPerSecond(4).Build();
//   Duration wait = schedule.NextStart(rank, since_published) - since_published;
//
// Slots form an infinite sequence. Slot i belongs to the engine with rank i modulo the number of
// engines; the later slots of an engine are for retries. Slots start at least
// 1 / downloads_per_second apart, and slot i + k starts at least one spacing after slot i, where k
// engines may swap at once. So at most k swaps run at any time as long as the start of each is at
// most StartGrace() late and the swap takes no longer than the swap time. A swap that takes longer
// can exceed the limit.

#include <cstddef>
#include <cstdint>

#include "anvilcroft/time.h"

namespace anvilcroft {

class SwapSchedule {
 public:
  class Builder;

  // Upper bound of StartGrace(): every owner reads a publication within this time, because the head
  // is polled every 2 s. The grace is also limited to the swap time: waiting 2 s between swaps of
  // 0.1 s kept a service of 8 engines on old weights for 8 s of 10 s.
  static constexpr Duration kMaxStartGrace = seconds(2);
  // Default duration of one swap. With it, five waves (9 engines, 2 at once) end within the 25 s
  // that new weights may take to reach all engines.
  static constexpr Duration kSwapTime = seconds(3);

  // Engines that may swap at once, at least 1.
  int64_t MaxConcurrentSwaps() const { return this->max_concurrent; }

  // How late an engine may start in its slot.
  Duration StartGrace() const { return this->start_grace; }

  // Minimum time between the starts of two slots that must not overlap.
  Duration Spacing() const { return this->spacing; }

  // Start of slot `index`, counted from the publication.
  Duration SlotStart(int64_t index) const;

  // The earliest time, counted from the publication and not before `since_published`, at which the
  // engine of `rank` (0 to engines - 1) may start.
  Duration NextStart(int64_t rank, Duration since_published) const;

 private:
  int64_t engines = 1;
  int64_t max_concurrent = 1;
  Duration interval = seconds(1);
  Duration start_grace = kMaxStartGrace;
  Duration spacing = kMaxStartGrace + kSwapTime;
};

class SwapSchedule::Builder {
 public:
  Builder& SetEngines(std::size_t value);
  // Maximum fraction of the engines that may swap at once, 0 to 1.
  Builder& SetMaxSwapping(double value);
  // Must be greater than 0.
  Builder& SetDownloadsPerSecond(double value);
  Builder& SetSwapTime(Duration value);
  SwapSchedule Build() const;

 private:
  std::size_t engines = 1;
  double max_swapping = 0.25;
  double downloads_per_second = 1;
  Duration swap_time = kSwapTime;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SWAP_SCHEDULE_H_
