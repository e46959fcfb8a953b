#include "anvilcroft/dispensable_groups.h"

#include <algorithm>
#include <tuple>

namespace anvilcroft {

std::set<std::string> DispensableGroups(std::vector<GroupProgress> groups, int64_t target_groups) {
  if (target_groups <= 0) return {};
  const int64_t spare = static_cast<int64_t>(groups.size()) - target_groups;
  groups.erase(std::remove_if(groups.begin(), groups.end(),
                              [](const GroupProgress& group) { return group.required; }),
               groups.end());
  std::sort(groups.begin(), groups.end(), [](const GroupProgress& a, const GroupProgress& b) {
    return std::make_tuple(-a.events_left, a.group) < std::make_tuple(-b.events_left, b.group);
  });
  std::set<std::string> dispensable;
  for (const GroupProgress& group : groups) {
    if (static_cast<int64_t>(dispensable.size()) >= spare) break;
    dispensable.insert(group.group);
  }
  return dispensable;
}

}  // namespace anvilcroft
