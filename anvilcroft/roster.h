#ifndef ANVILCROFT_ROSTER_H_
#define ANVILCROFT_ROSTER_H_

// The members of the cluster at one roster version, ordered by id. Immutable.

#include <cstdint>
#include <string>
#include <vector>

#include "anvilcroft/member.h"

namespace anvilcroft {

class Roster {
 public:
  Roster() = default;
  // `members` may be in any order. If several have the same id, the one with the highest epoch is
  // kept.
  Roster(uint64_t version, std::vector<Member> members);

  uint64_t Version() const { return this->version; }
  const std::vector<Member>& Members() const { return this->members; }

  // Returns the member with the id `id`, or nullptr. Valid for the lifetime of this roster.
  const Member* Find(const std::string& id) const;

  // Returns the members that accept new work.
  std::vector<Member> Serving() const;

  // Returns the serving member with the highest rendezvous weight for `item`, which owns the soft
  // state of `item`, or nullptr if no member is serving. Instances with different rosters may
  // disagree on the owner.
  const Member* OwnerOf(const std::string& item) const;

  // Returns up to `count` serving members in descending order of rendezvous weight for `item`.
  std::vector<Member> Preferred(const std::string& item, std::size_t count) const;

  friend bool operator==(const Roster& a, const Roster& b) {
    return a.version == b.version && a.members == b.members;
  }
  friend bool operator!=(const Roster& a, const Roster& b) { return !(a == b); }

 private:
  uint64_t version = 0;
  std::vector<Member> members;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROSTER_H_
