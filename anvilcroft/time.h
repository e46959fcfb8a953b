#ifndef ANVILCROFT_TIME_H_
#define ANVILCROFT_TIME_H_

// Types of time used by the whole program.
//
// A function that decides anything takes the present time as an argument. Only the tasks at the
// edge (an HTTP connection, a periodic loop, main) read a clock, with SteadyNow() or WallNow().

#include <chrono>
#include <cstdint>

namespace anvilcroft {

// A point on the process's monotonic clock. Never sent to another process.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Milliseconds since the Unix epoch. Used only in records that people read; no decision that
// must hold depends on two machines' wall clocks agreeing.
using WallMillis = int64_t;

// Reads the monotonic clock.
TimePoint SteadyNow();

// Reads the wall clock.
WallMillis WallNow();

// Time since the host started, including the time during which it was suspended. The monotonic
// clock stands still then, so a lease is measured with this one.
using BootTime = std::chrono::nanoseconds;

// Reads the clock of BootTime.
BootTime BootNow();

// Whole milliseconds in `duration`, rounded towards zero.
int64_t ToMillis(Duration duration);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TIME_H_
