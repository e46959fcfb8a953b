#ifndef ANVILCROFT_FLEET_FEED_PACE_H_
#define ANVILCROFT_FLEET_FEED_PACE_H_

// Limits how often an instance calls a change feed of the metadata store.
//
// Load pattern: every instance follows the same tables, and each change ends the waiting feed call
// of all of them. While thousands of targets change their entries, the calls grow with the product
// of instances and targets. At 300 instances and 3,000 targets they exceeded what the store takes,
// which then refused all other reads and writes as well.
//
// A call after a pause without changes is not delayed; changes that follow each other arrive
// together.

#include <cstddef>

#include "anvilcroft/time.h"

namespace anvilcroft {

// Share of the store's reads that the calls of all instances to one feed may use.
constexpr double kFeedReadShare = 0.15;
// Longest time between two calls. A target that leaves must be known everywhere within 3 s.
constexpr Duration kMaxFeedInterval = milliseconds(800);

// Minimum time between the starts of two calls of one of `instances` instances to a feed.
// `store_reads_per_s`: reads that the store takes in a second; 0: not limited.
Duration FeedInterval(std::size_t instances, double store_reads_per_s);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FLEET_FEED_PACE_H_
