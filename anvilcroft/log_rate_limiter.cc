#include "anvilcroft/log_rate_limiter.h"

#include <algorithm>

namespace anvilcroft {

std::optional<int64_t> LogBudget::Admit(std::string_view part, bool failure, TimePoint now) {
  Bucket& bucket = this->buckets[std::make_pair(std::string(part), failure)];
  if (bucket.filled_at != TimePoint()) {
    const double elapsed = std::chrono::duration<double>(now - bucket.filled_at).count();
    bucket.tokens = std::min(kBurst, bucket.tokens + std::max(0.0, elapsed) * kLinesPerSecond);
  }
  bucket.filled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.left_out;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.left_out, 0);
}

}  // namespace anvilcroft
