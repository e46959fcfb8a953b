#ifndef ANVILCROFT_DISPENSABLE_GROUPS_H_
#define ANVILCROFT_DISPENSABLE_GROUPS_H_

// Finds the groups of a training step that its trainer can do without.
//
// Load pattern: a trainer goes on once most of its groups are complete. The items of the groups
// that would end last start after all others, so that the step does not wait for them.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace anvilcroft {

struct GroupProgress {
  std::string group;
  double events_left = 0;  // of its longest item, expected
  bool required = false;   // the trainer waits for it whatever else is complete
};

// The groups with the most events left, as many as the step has beyond `target_groups`. Required
// groups are never among them. None if `target_groups` is not positive: all are waited for.
std::set<std::string> DispensableGroups(std::vector<GroupProgress> groups, int64_t target_groups);

}  // namespace anvilcroft

#endif  // ANVILCROFT_DISPENSABLE_GROUPS_H_
