#include "anvilcroft/time.h"

#include <ctime>

namespace anvilcroft {

TimePoint SteadyNow() { return std::chrono::steady_clock::now(); }

WallMillis WallNow() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

BootTime BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace anvilcroft
