#include "anvilcroft/suspect_target.h"

#include <algorithm>

namespace anvilcroft {
namespace {

// Number of members with a smaller id, which does not depend on the order of the list.
std::size_t RankOf(const std::vector<Member>& serving, const std::string& self) {
  return static_cast<std::size_t>(std::count_if(
      serving.begin(), serving.end(), [&](const Member& other) { return other.Id() < self; }));
}

}  // namespace

int SuspectTurn(const std::vector<Member>& serving, const std::string& self) {
  return static_cast<int>(RankOf(serving, self) % kSuspectTurns);
}

bool RunsSuspectsOn(const std::vector<Member>& serving, const std::string& self,
                    const std::vector<std::string>& targets, const std::string& target) {
  const bool member = std::any_of(serving.begin(), serving.end(),
                                  [&](const Member& other) { return other.Id() == self; });
  if (!member || targets.empty()) return true;
  const std::size_t instance_rank = RankOf(serving, self);
  const auto target_rank = static_cast<std::size_t>(std::count_if(
      targets.begin(), targets.end(), [&](const std::string& other) { return other < target; }));
  return instance_rank % targets.size() == target_rank % serving.size();
}

}  // namespace anvilcroft
