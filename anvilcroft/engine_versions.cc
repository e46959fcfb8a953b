#include "anvilcroft/engine_versions.h"

#include <iterator>

namespace anvilcroft {

void EngineVersions::Observe(const std::string& target_id, int64_t version, TimePoint now) {
  this->engines[target_id] = Observation{version, now};
}

std::set<std::string> EngineVersions::EnginesOlderThan(int64_t version, TimePoint now) {
  std::set<std::string> older;
  for (auto at = this->engines.begin(); at != this->engines.end();) {
    if (now - at->second.observed_at > kObservationTtl) {
      at = this->engines.erase(at);
      continue;
    }
    if (at->second.version < version) older.insert(at->first);
    ++at;
  }
  return older;
}

}  // namespace anvilcroft
