#include "anvilcroft/target_subset.h"

#include "anvilcroft/hash.h"

namespace anvilcroft {

bool InSubset(const Roster& roster, const std::string& self, const std::string& self_zone,
              const Target& target) {
  if (roster.Members().size() <= kFullMeshMembers) return true;
  const std::size_t limit = target.Zone() == self_zone ? kMembersOfOwnZone : kMembersOfOtherZone;
  const uint64_t own_weight = RendezvousWeight(self, target.Id());
  std::size_t ahead = 0;
  for (const Member& member : roster.Members()) {
    if (!member.Serving() || member.Zone() != self_zone || member.Id() == self) continue;
    const uint64_t weight = RendezvousWeight(member.Id(), target.Id());
    const bool ranks_higher = weight != own_weight ? weight > own_weight : member.Id() < self;
    if (ranks_higher && ++ahead >= limit) return false;
  }
  return true;
}

}  // namespace anvilcroft
