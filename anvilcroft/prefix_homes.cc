#include "anvilcroft/prefix_homes.h"

#include <algorithm>

#include "anvilcroft/hash.h"

namespace anvilcroft {

std::string PrefixHomes::KeyOf(const std::string& prompt) {
  return prompt.size() < kPrefixBytes ? "" : HexDigest(prompt.substr(0, kPrefixBytes));
}

bool PrefixHomes::RecordUse(const std::string& key, TimePoint now) {
  if (key.empty()) return false;
  if (now - this->halved_at >= kHalvingPeriod) {
    this->halved_at = now;
    for (auto at = this->counts.begin(); at != this->counts.end();) {
      at->second /= 2;
      at = at->second == 0 ? this->counts.erase(at) : std::next(at);
    }
  }
  const auto found = this->counts.find(key);
  if (found != this->counts.end()) return ++found->second >= kMinPopularUses;
  if (this->counts.size() < kMaxPrefixes) this->counts.emplace(key, 1);
  return false;
}

std::shared_ptr<TargetState> HomeOf(const std::string& key,
                                    const std::vector<std::shared_ptr<TargetState>>& eligible) {
  int64_t newest = 0;
  for (const auto& target : eligible) newest = std::max(newest, target->WeightVersion());
  const std::string item = key + "@" + std::to_string(newest);
  std::shared_ptr<TargetState> home;
  uint64_t highest = 0;
  for (const auto& target : eligible) {
    const uint64_t weight = RendezvousWeight(target->Description().Id(), item);
    if (home && weight <= highest) continue;
    home = target;
    highest = weight;
  }
  return home;
}

}  // namespace anvilcroft
