#include "anvilcroft/log_rate_limiter.h"

#include <algorithm>

namespace anvilcroft {

std::optional<int64_t> LogRateLimiter::Admit(std::string_view part, bool failure, TimePoint now) {
  Bucket& bucket = this->buckets[std::make_pair(std::string(part), failure)];
  if (bucket.refilled_at != TimePoint()) {
    const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(kBurst, bucket.tokens + std::max(0.0, elapsed) * kLinesPerSecond);
  }
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.suppressed;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.suppressed, 0);
}

}  // namespace anvilcroft
