#ifndef FAKES_RATE_LIMIT_H_
#define FAKES_RATE_LIMIT_H_

// A token bucket. Its capacity is the number of tokens per second, and at least one.

#include <algorithm>
#include <chrono>

#include "anvilcroft/time.h"

namespace anvilcroft::fakes {

class RateLimit {
 public:
  // A `per_second` of 0 or less disables the limit.
  explicit RateLimit(double per_second)
      : per_second(per_second), burst(std::max(1.0, per_second)), tokens(burst) {}

  // Removes `count` tokens and returns true if the bucket holds at least one. The balance may
  // become negative, for example after a read of many rows; later calls then fail until it is
  // refilled.
  bool TryAcquire(TimePoint now, double count = 1) {
    if (this->per_second <= 0) return true;
    const double elapsed_seconds = std::chrono::duration<double>(now - this->last_refill).count();
    this->last_refill = now;
    this->tokens =
        std::min(this->burst, this->tokens + std::max(0.0, elapsed_seconds) * this->per_second);
    if (this->tokens < 1) return false;
    this->tokens -= count;
    return true;
  }

 private:
  double per_second;
  double burst;
  double tokens;
  TimePoint last_refill;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_RATE_LIMIT_H_
