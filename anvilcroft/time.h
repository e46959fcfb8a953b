#ifndef ANVILCROFT_TIME_H_
#define ANVILCROFT_TIME_H_

// Time types and clocks.
//
// A function whose result depends on the current time takes it as an argument. Only the outermost
// code (a task that serves an HTTP connection, a periodic loop, main) reads a clock, with
// SteadyNow() or WallNow().

#include <chrono>
#include <cstdint>

namespace anvilcroft {

// A time of the monotonic clock. Not meaningful in another process, so it is never sent to one.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Milliseconds since the Unix epoch. Correctness never depends on the wall clocks of two machines
// being synchronized.
using WallMillis = int64_t;

// Reads the monotonic clock.
TimePoint SteadyNow();

// Reads the wall clock.
WallMillis WallNow();

// Time since the host started, including time in suspension. The monotonic clock stops during
// suspension, so leases are measured with this clock.
using BootTime = std::chrono::nanoseconds;

// Reads the boot-time clock.
BootTime BootNow();

// Converts `duration` to whole milliseconds, rounded towards zero.
int64_t ToMillis(Duration duration);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TIME_H_
