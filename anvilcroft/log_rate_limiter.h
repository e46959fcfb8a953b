#ifndef ANVILCROFT_LOG_RATE_LIMITER_H_
#define ANVILCROFT_LOG_RATE_LIMITER_H_

// Limits the rate of log lines of each part with a token bucket, so that a burst of requests
// neither costs much time nor hides the lines of other parts. Warnings and errors of a part have a
// separate bucket, so that lines of lower levels can't displace them.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "anvilcroft/time.h"

namespace anvilcroft {

class LogRateLimiter {
 public:
  // Refill rate and capacity of a bucket, in lines. At 150 bytes a line and with two buckets, a
  // part writes at most 30 KB/s.
  static constexpr double kLinesPerSecond = 100;
  static constexpr double kBurst = 400;

  // Returns nullopt if a line of `part` at time `now` must be suppressed. Otherwise returns how
  // many lines of the same bucket were suppressed since the last admitted one. `failure` is true
  // for warnings and errors.
  std::optional<int64_t> Admit(std::string_view part, bool failure, TimePoint now);

 private:
  struct Bucket {
    double tokens = kBurst;
    TimePoint refilled_at;
    int64_t suppressed = 0;
  };

  std::map<std::pair<std::string, bool>, Bucket, std::less<>> buckets;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOG_RATE_LIMITER_H_
