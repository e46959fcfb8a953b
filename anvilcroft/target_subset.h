#ifndef ANVILCROFT_TARGET_SUBSET_H_
#define ANVILCROFT_TARGET_SUBSET_H_

// Which targets an instance works with. With many members, each instance keeps connections and
// state for a part of the targets only, so that its state grows with targets / members.

#include <cstddef>
#include <string>

#include "anvilcroft/roster.h"
#include "anvilcroft/target.h"

namespace anvilcroft {

// Up to this many members, every member works with every target.
constexpr std::size_t kFullMeshMembers = 16;
// Members of a target's own zone, and of each other zone, that work with it.
constexpr std::size_t kMembersOfOwnZone = 4;
constexpr std::size_t kMembersOfOtherZone = 1;

// Whether the instance `self` in `self_zone` works with `target`: it has one of the highest
// rendezvous weights for it among the serving members of its zone. An instance that does not
// serve (not joined yet, or leaving) is counted as if it did, for the work it still has.
bool InSubset(const Roster& roster, const std::string& self, const std::string& self_zone,
              const Target& target);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_SUBSET_H_
