#ifndef ANVILCROFT_PREFIX_HOMES_H_
#define ANVILCROFT_PREFIX_HOMES_H_

// Popular prompt prefixes and their home targets. Work whose prompt begins with a popular prefix
// has that prefix's home as a third candidate, so that an engine's prefix cache holds a popular
// prefix at one target rather than a copy at each.
//
//   const std::string prefix = PrefixHomes::KeyOf(prompt);
//   if (homes.Note(prefix, now)) { home = HomeOf(prefix, eligible); }
//
// Source: PF-ClusterCache, Applied Sciences 2022, 12(13), 6706 (hash only what is popular).

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/target_state.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class PrefixHomes {
 public:
  // Bytes of a prompt that identify its prefix; shorter prompts have none.
  static constexpr std::size_t kPrefixBytes = 256;
  // A prefix is popular from this many uses; counts are halved after each period.
  static constexpr int kPopular = 4;
  static constexpr Duration kPeriod = seconds(10);
  // Most prefixes counted; further ones wait for the next halving, which removes rare ones.
  static constexpr std::size_t kMaxPrefixes = 4096;

  // Key of the prefix of `prompt`; empty if the prompt is too short.
  static std::string KeyOf(const std::string& prompt);

  // Counts one use and returns whether the prefix is popular. An empty key never is.
  bool Note(const std::string& key, TimePoint now);

  std::size_t Size() const { return this->counts.size(); }

 private:
  std::map<std::string, int> counts;
  TimePoint halved_at;
};

// The home of the prefix `key` among `eligible`, by rendezvous hash of the key with the newest
// weight version: cached prefixes of earlier weights are of no use. Null if `eligible` is empty.
std::shared_ptr<TargetState> HomeOf(const std::string& key,
                                    const std::vector<std::shared_ptr<TargetState>>& eligible);

}  // namespace anvilcroft

#endif  // ANVILCROFT_PREFIX_HOMES_H_
