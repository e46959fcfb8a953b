#include "anvilcroft/roster.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"

namespace anvilcroft {

Roster::Roster(uint64_t version, std::vector<Member> members)
    : version(version), members(std::move(members)) {
  std::sort(this->members.begin(), this->members.end(), [](const Member& a, const Member& b) {
    return a.Id() != b.Id() ? a.Id() < b.Id() : a.Epoch() > b.Epoch();
  });
  const auto same_id = [](const Member& a, const Member& b) { return a.Id() == b.Id(); };
  this->members.erase(std::unique(this->members.begin(), this->members.end(), same_id),
                      this->members.end());
}

const Member* Roster::Find(const std::string& id) const {
  const auto found = std::lower_bound(
      this->members.begin(), this->members.end(), id,
      [](const Member& member, const std::string& key) { return member.Id() < key; });
  return found != this->members.end() && found->Id() == id ? &*found : nullptr;
}

std::vector<Member> Roster::Serving() const {
  std::vector<Member> serving;
  std::copy_if(this->members.begin(), this->members.end(), std::back_inserter(serving),
               [](const Member& member) { return member.Serving(); });
  return serving;
}

const Member* Roster::OwnerOf(const std::string& item) const {
  const Member* owner = nullptr;
  uint64_t highest = 0;
  for (const Member& member : this->members) {
    if (!member.Serving()) continue;
    const uint64_t weight = RendezvousWeight(member.Id(), item);
    if (owner == nullptr || weight > highest) {
      owner = &member;
      highest = weight;
    }
  }
  return owner;
}

std::vector<Member> Roster::Preferred(const std::string& item, std::size_t count) const {
  std::vector<Member> preferred = this->Serving();
  std::sort(preferred.begin(), preferred.end(), [&](const Member& a, const Member& b) {
    return RendezvousWeight(a.Id(), item) > RendezvousWeight(b.Id(), item);
  });
  if (preferred.size() > count) preferred.erase(preferred.begin() + count, preferred.end());
  return preferred;
}

}  // namespace anvilcroft
