// Tests of the limit on the calls to the change feeds of the metadata store.

#include "anvilcroft/fleet/feed_pace.h"

#include <catch2/catch.hpp>

namespace anvilcroft {
namespace {

// Guards against feed calls that exceed the reads of the store: at 300 instances and 3,000 targets
// the store refused most calls of all kinds.
TEST_CASE("the feed calls of all instances stay under a share of the store's reads", "[fleet]") {
  for (const std::size_t instances : {9, 72, 195, 301, 380, 600}) {
    for (const double reads_per_s : {2000.0, 6000.0}) {
      const double interval =
          std::chrono::duration<double>(FeedInterval(instances, reads_per_s)).count();
      if (interval < std::chrono::duration<double>(kMaxFeedInterval).count()) {
        CHECK(static_cast<double>(instances) / interval <= kFeedReadShare * reads_per_s * 1.001);
      }
      CHECK(FeedInterval(instances, reads_per_s) <= kMaxFeedInterval);
    }
  }
}

TEST_CASE("without a limit of the store the feed calls are not delayed", "[fleet]") {
  CHECK(FeedInterval(380, 0) == Duration::zero());
}

}  // namespace
}  // namespace anvilcroft
