#ifndef ANVILCROFT_ROSTER_H_
#define ANVILCROFT_ROSTER_H_

// All members at one roster version, ordered by id. Immutable.

#include <cstdint>
#include <string>
#include <vector>

#include "anvilcroft/member.h"

namespace anvilcroft {

class Roster {
 public:
  Roster() = default;
  // `members` in any order; of two with one id the one with the higher epoch is kept.
  Roster(uint64_t version, std::vector<Member> members);

  uint64_t Version() const { return this->version; }
  const std::vector<Member>& Members() const { return this->members; }

  // The member called `id`, or nullptr. Valid while this roster lives.
  const Member* Find(const std::string& id) const;

  // The members that take new work.
  std::vector<Member> Serving() const;

  // The serving member with the highest rendezvous weight for `item`, or nullptr if none serves:
  // the owner of soft state. Two instances with different rosters may name different owners.
  const Member* OwnerOf(const std::string& item) const;

  // Up to `count` serving members in falling order of rendezvous weight for `item`.
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
