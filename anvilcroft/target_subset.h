#ifndef ANVILCROFT_TARGET_SUBSET_H_
#define ANVILCROFT_TARGET_SUBSET_H_

// Deterministic subsetting: which targets an instance sends work to. In a large cluster, each
// instance keeps connections and state for a part of the targets only, so that its state grows with
// targets / members.

#include <cstddef>
#include <string>

#include "anvilcroft/roster.h"
#include "anvilcroft/target.h"

namespace anvilcroft {

// Up to this number of members, every member uses every target.
constexpr std::size_t kFullMeshMembers = 16;
// Number of members in a target's own zone, and in each other zone, that use the target.
constexpr std::size_t kMembersOfOwnZone = 4;
constexpr std::size_t kMembersOfOtherZone = 1;

// Returns whether `target` is in the subset of the instance `self` in `self_zone`, which is the
// case if `self` has one of the highest rendezvous weights for it among the serving members of its
// zone. An instance that is not serving (not joined yet, or leaving) is ranked as if it were,
// because it may still have work.
bool InSubset(const Roster& roster, const std::string& self, const std::string& self_zone,
              const Target& target);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_SUBSET_H_
