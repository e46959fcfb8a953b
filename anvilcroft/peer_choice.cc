#include "anvilcroft/peer_choice.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>

#include "anvilcroft/hash.h"

namespace anvilcroft {
namespace {

// Minimum number of peers of each member, if there are that many other members. A member of a
// region with few members gets more than one peer in other regions to reach it.
constexpr std::size_t kMinPeers = 5;

// Maximum number of a member's peers in other regions. Leaves capacity for peers in its own region
// when many members of other regions need a peer here.
constexpr std::size_t kMaxCrossRegionPeers = 5;

struct Pair {
  uint64_t weight;
  std::size_t a;
  std::size_t b;
  bool cross_region;  // the two are in different regions
};

class Graph {
 public:
  explicit Graph(const std::vector<Member>& members)
      : peers(members.size()),
        cross_region_peers(members.size(), 0),
        cross_region_needed(members.size(), 1) {
    std::map<std::string, std::size_t> region_size;
    for (const Member& member : members) ++region_size[member.Region()];
    for (std::size_t i = 0; i < members.size(); ++i) {
      const std::size_t same_region = region_size[members[i].Region()] - 1;
      if (same_region + 1 < kMinPeers) this->cross_region_needed[i] = kMinPeers - same_region;
    }
    for (std::size_t a = 0; a < members.size(); ++a) {
      for (std::size_t b = a + 1; b < members.size(); ++b) {
        this->pairs.push_back(Pair{RendezvousWeight(members[a].Id(), members[b].Id()), a, b,
                                   members[a].Region() != members[b].Region()});
      }
    }
    std::sort(this->pairs.begin(), this->pairs.end(),
              [](const Pair& x, const Pair& y) { return x.weight > y.weight; });
  }

  std::set<std::size_t> PeersOf(std::size_t self) {
    // First one peer in another region for each member, then more for the members that need more,
    // then peers within the region.
    for (const Pair& pair : this->pairs) {
      if (pair.cross_region && this->cross_region_peers[pair.a] == 0 &&
          this->cross_region_peers[pair.b] == 0) {
        this->Connect(pair);
      }
    }
    for (const Pair& pair : this->pairs) {
      const bool needed = this->cross_region_peers[pair.a] < this->cross_region_needed[pair.a] ||
                          this->cross_region_peers[pair.b] < this->cross_region_needed[pair.b];
      const bool room = this->cross_region_peers[pair.a] < kMaxCrossRegionPeers &&
                        this->cross_region_peers[pair.b] < kMaxCrossRegionPeers;
      if (pair.cross_region && needed && room) this->Connect(pair);
    }
    for (const Pair& pair : this->pairs) {
      const bool room =
          this->peers[pair.a].size() < kMaxPeers && this->peers[pair.b].size() < kMaxPeers;
      if (!pair.cross_region && room) this->Connect(pair);
    }
    return this->peers[self];
  }

 private:
  void Connect(const Pair& pair) {
    if (!this->peers[pair.a].insert(pair.b).second) return;
    this->peers[pair.b].insert(pair.a);
    if (pair.cross_region) {
      ++this->cross_region_peers[pair.a];
      ++this->cross_region_peers[pair.b];
    }
  }

  std::vector<Pair> pairs;
  std::vector<std::set<std::size_t>> peers;
  std::vector<std::size_t> cross_region_peers;
  std::vector<std::size_t> cross_region_needed;
};

}  // namespace

std::vector<Member> ChoosePeers(const Roster& roster, const std::string& self) {
  const std::vector<Member>& members = roster.Members();
  const auto own = std::find_if(members.begin(), members.end(),
                                [&](const Member& member) { return member.Id() == self; });
  if (own == members.end()) return {};
  std::vector<Member> chosen;
  if (members.size() <= kFullMeshMembers) {
    std::copy_if(members.begin(), members.end(), std::back_inserter(chosen),
                 [&](const Member& member) { return member.Id() != self; });
    return chosen;
  }
  Graph graph(members);
  for (const std::size_t index : graph.PeersOf(static_cast<std::size_t>(own - members.begin()))) {
    chosen.push_back(members[index]);
  }
  return chosen;
}

}  // namespace anvilcroft
