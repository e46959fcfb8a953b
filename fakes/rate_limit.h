#ifndef FAKES_RATE_LIMIT_H_
#define FAKES_RATE_LIMIT_H_

// A token bucket with a burst of one second's worth, at least one token.

#include <algorithm>
#include <chrono>

#include "anvilcroft/time.h"

namespace anvilcroft::fakes {

class RateLimit {
 public:
  // `per_second` 0 or less: no limit.
  explicit RateLimit(double per_second)
      : per_second(per_second), burst(std::max(1.0, per_second)), tokens(burst) {}

  // Takes `count` tokens if the bucket holds any. A read of many rows may take the bucket below
  // zero, which later calls pay for.
  bool Take(TimePoint now, double count = 1) {
    if (this->per_second <= 0) return true;
    const double passed = std::chrono::duration<double>(now - this->filled).count();
    this->filled = now;
    this->tokens = std::min(this->burst, this->tokens + std::max(0.0, passed) * this->per_second);
    if (this->tokens < 1) return false;
    this->tokens -= count;
    return true;
  }

 private:
  double per_second;
  double burst;
  double tokens;
  TimePoint filled;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_RATE_LIMIT_H_
