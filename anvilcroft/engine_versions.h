#ifndef ANVILCROFT_ENGINE_VERSIONS_H_
#define ANVILCROFT_ENGINE_VERSIONS_H_

// The weight versions that engines had a moment ago, from their reports and from the spans of
// their output. Used to keep samples away from engines whose output would be too stale; what is
// delivered is decided by the spans of the output alone.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "anvilcroft/time.h"

namespace anvilcroft {

class EngineVersions {
 public:
  // How long an observation counts. An engine that has swapped since is tried again after that.
  static constexpr Duration kTrustTime = seconds(3);

  // Records that the engine called `target_id` had `version` at `now`.
  void Observe(const std::string& target_id, int64_t version, TimePoint now);

  // The engines that had a version lower than `version` within the trust time before `now`.
  std::set<std::string> OlderThan(int64_t version, TimePoint now);

 private:
  struct Seen {
    int64_t version = 0;
    TimePoint at;
  };

  std::map<std::string, Seen> engines;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_VERSIONS_H_
