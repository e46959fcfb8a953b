#ifndef ANVILCROFT_DISPENSABLE_GROUPS_H_
#define ANVILCROFT_DISPENSABLE_GROUPS_H_

// Finds the groups of a training step that its trainer can do without.
//
// Load pattern: a trainer continues once most of its groups are complete. The items of the groups
// that are expected to finish last are started after all others, so that the step does not wait for
// them.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace anvilcroft {

struct GroupProgress {
  std::string group;
  double events_left = 0;  // expected number of events left for its longest item
  bool required = false;   // the trainer waits for it even if enough others are complete
};

// Returns the groups with the most events left, as many as the step has beyond `target_groups`, but
// no required groups. Returns none if `target_groups` is not positive: the trainer waits for all.
std::set<std::string> DispensableGroups(std::vector<GroupProgress> groups, int64_t target_groups);

}  // namespace anvilcroft

#endif  // ANVILCROFT_DISPENSABLE_GROUPS_H_
