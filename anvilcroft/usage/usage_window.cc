#include "anvilcroft/usage/usage_window.h"

#include <algorithm>

namespace anvilcroft {
namespace {

constexpr double kStoreShare = 0.1;
// At least this part of the share is left for rows that are not final.
constexpr double kMinRestShare = 0.25;
constexpr Duration kMinInterval = milliseconds(500);
constexpr Duration kMaxSpread = milliseconds(1500);
// Final rows become due in all instances at the same moment and may take this part of the store's
// writes then.
constexpr double kFinalBurstShare = 0.25;

int64_t FloorDivide(int64_t value, int64_t divisor) {
  const int64_t quotient = value / divisor;
  return value % divisor < 0 ? quotient - 1 : quotient;
}

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

double ToSeconds(Duration value) { return std::chrono::duration<double>(value).count(); }

}  // namespace

UsageWindows::UsageWindows(Duration length) : length_ms(std::max<int64_t>(1, ToMillis(length))) {}

int64_t UsageWindows::WindowAt(WallMillis time) const { return FloorDivide(time, this->length_ms); }

int64_t UsageWindows::FirstWholeFrom(WallMillis time) const {
  const int64_t window = this->WindowAt(time);
  return this->BeginOf(window) == time ? window : window + 1;
}

UsagePace PaceOfUsageWrites(std::size_t instances, double store_writes_per_s, Duration window) {
  const double count = static_cast<double>(std::max<std::size_t>(1, instances));
  const double share = kStoreShare * store_writes_per_s;
  const double rest = std::max(kMinRestShare * share, share - count / ToSeconds(window));
  UsagePace pace;
  pace.interval = std::max(kMinInterval, FromSeconds(count / rest));
  pace.spread = std::min(kMaxSpread, FromSeconds(count / (kFinalBurstShare * store_writes_per_s)));
  return pace;
}

Duration ReportInterval(double calls_per_s, Duration window) {
  const Duration half = FromSeconds(2 / calls_per_s);
  return half <= window ? half : FromSeconds(1 / calls_per_s);
}

}  // namespace anvilcroft
