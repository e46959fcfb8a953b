#include "anvilcroft/store_clock.h"

#include <algorithm>

namespace anvilcroft {
namespace {

constexpr int64_t kMicrosPerMilli = 1000;

int64_t Micros(BootTime time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

}  // namespace

int64_t StoreClock::Bound::DriftUntil(BootTime now) const {
  return static_cast<int64_t>(kMaxDrift * static_cast<double>(Micros(now - this->known_at)));
}

void StoreClock::Apply(StoreMillis reading, BootTime sent, BootTime read) {
  // The reading is in whole milliseconds, rounded down.
  const Bound new_lower{reading * kMicrosPerMilli - Micros(read), read};
  const Bound new_upper{(reading + 1) * kMicrosPerMilli - Micros(sent), read};
  const int64_t old_lower = this->lower.offset - this->lower.DriftUntil(read);
  const int64_t old_upper = this->upper.offset + this->upper.DriftUntil(read);
  const bool contradicts =
      !this->known || new_lower.offset > old_upper || new_upper.offset < old_lower;
  if (contradicts || new_lower.offset > old_lower) this->lower = new_lower;
  if (contradicts || new_upper.offset < old_upper) this->upper = new_upper;
  this->known = true;
}

StoreTimeRange StoreClock::At(BootTime now) const {
  if (!this->known) return {};
  const int64_t earliest = this->lower.offset - this->lower.DriftUntil(now) + Micros(now);
  const int64_t latest = this->upper.offset + this->upper.DriftUntil(now) + Micros(now);
  StoreTimeRange range;
  range.earliest = std::max<StoreMillis>(0, earliest / kMicrosPerMilli);
  range.latest = latest / kMicrosPerMilli + 1;
  return range;
}

}  // namespace anvilcroft
