#include "anvilcroft/fleet/feed_pace.h"

#include <algorithm>

namespace anvilcroft {

Duration FeedInterval(std::size_t instances, double store_reads_per_s) {
  if (store_reads_per_s <= 0) return Duration::zero();
  const std::chrono::duration<double> interval(static_cast<double>(instances) /
                                               (kFeedReadShare * store_reads_per_s));
  return std::min<Duration>(kMaxFeedInterval, std::chrono::duration_cast<Duration>(interval));
}

}  // namespace anvilcroft
