#ifndef ANVILCROFT_PREFIX_HOMES_H_
#define ANVILCROFT_PREFIX_HOMES_H_

// Popular prompt prefixes and their home targets. For a prompt with a popular prefix, target
// selection considers the home target of the prefix as a third candidate. The prefix then occupies
// the prefix cache of one engine instead of every engine's.
//
//   const std::string prefix = PrefixHomes::KeyOf(prompt);
//   if (homes.RecordUse(prefix, now)) { home = HomeOf(prefix, eligible); }
//
// Reference: PF-ClusterCache, Applied Sciences 2022, 12(13), 6706 (hash only what is popular).

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
  // Number of leading bytes of a prompt that form its prefix; shorter prompts have no prefix.
  static constexpr std::size_t kPrefixBytes = 256;
  // A prefix is popular from this many uses on. Counts are halved once per period.
  static constexpr int kMinPopularUses = 4;
  static constexpr Duration kHalvingPeriod = seconds(10);
  // Maximum number of counted prefixes. Further ones are not counted until the next halving, which
  // removes rare prefixes.
  static constexpr std::size_t kMaxPrefixes = 4096;

  // Returns the key of the prefix of `prompt`, or "" if the prompt is too short.
  static std::string KeyOf(const std::string& prompt);

  // Counts one use of the prefix and returns whether it is popular. An empty key is never popular.
  bool RecordUse(const std::string& key, TimePoint now);

  std::size_t Size() const { return this->counts.size(); }

 private:
  std::map<std::string, int> counts;
  TimePoint halved_at;
};

// Returns the home target of the prefix `key` among `eligible`, or null if `eligible` is empty. It
// is chosen by rendezvous hashing of the key and the newest weight version, because prefixes cached
// under earlier weights cannot be used.
std::shared_ptr<TargetState> HomeOf(const std::string& key,
                                    const std::vector<std::shared_ptr<TargetState>>& eligible);

}  // namespace anvilcroft

#endif  // ANVILCROFT_PREFIX_HOMES_H_
