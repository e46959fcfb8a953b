#ifndef ANVILCROFT_ENGINE_VERSIONS_H_
#define ANVILCROFT_ENGINE_VERSIONS_H_

// The weight versions that engines had recently, from their state reports and from the spans of
// their output. Used to avoid sending samples to engines whose output would be too stale; whether a
// sample is delivered depends on the spans of its output alone.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "anvilcroft/time.h"

namespace anvilcroft {

class EngineVersions {
 public:
  // How long an observation is used. After that the engine may get samples again, since it may have
  // swapped.
  static constexpr Duration kObservationTtl = seconds(3);

  // Records that the engine `target_id` had the weight version `version` at `now`.
  void Observe(const std::string& target_id, int64_t version, TimePoint now);

  // The ids of the engines whose last observation is lower than `version` and no older than
  // kObservationTtl at `now`. Removes older observations.
  std::set<std::string> EnginesOlderThan(int64_t version, TimePoint now);

 private:
  struct Observation {
    int64_t version = 0;
    TimePoint observed_at;
  };

  std::map<std::string, Observation> engines;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_VERSIONS_H_
