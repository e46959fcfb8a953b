// Tests the graph of connections between instances.

#include "anvilcroft/peer_choice.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace anvilcroft {
namespace {

Roster MakeRoster(std::size_t count, std::size_t regions) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) {
    // The first region has half of all members, so that the regions differ in size.
    const std::size_t region = i % 2 == 0 ? 0 : i / 2 % regions;
    members.push_back(Member::Builder()
                          .SetId("i-" + std::to_string(i))
                          .SetRegion("r-" + std::to_string(region))
                          .Build());
  }
  return Roster(1, members);
}

// Guards against two ends that disagree about their connection, a member cut off from the rest,
// more connections than the bound, and a member without a peer in another region.
TEST_CASE("the graph is symmetric, bounded and connected", "[peer_choice]") {
  for (const std::size_t regions : {1, 3}) {
    for (const std::size_t count : {1, 2, 5, 16, 17, 24, 60, 380}) {
      const Roster roster = MakeRoster(count, regions);
      std::map<std::string, std::set<std::string>> peers;
      for (const Member& member : roster.Members()) {
        if (count == 380 && member.Id().back() != '7') continue;  // each call ranks 72,010 pairs
        bool other_region = false;
        for (const Member& peer : ChoosePeers(roster, member.Id())) {
          peers[member.Id()].insert(peer.Id());
          other_region = other_region || peer.Region() != member.Region();
        }
        INFO(count << " members, " << regions << " regions, " << member.Id());
        CHECK(peers[member.Id()].count(member.Id()) == 0);
        CHECK(peers[member.Id()].size() <= (count <= kFullMeshMembers ? count - 1 : kMaxPeers));
        if (count >= 5) CHECK(peers[member.Id()].size() >= std::min<std::size_t>(count - 1, 5));
        if (regions > 1 && count >= 16) CHECK(other_region);
      }
      if (count == 380) continue;
      std::set<std::string> reached{"i-0"};
      std::vector<std::string> to_visit{"i-0"};
      while (!to_visit.empty()) {
        const std::string id = to_visit.back();
        to_visit.pop_back();
        for (const std::string& peer : peers[id]) {
          CHECK(peers[peer].count(id) == 1);
          if (reached.insert(peer).second) to_visit.push_back(peer);
        }
      }
      CHECK(reached.size() == count);
    }
  }
}

// Guards against a new member whose arrival closes most connections between the others.
TEST_CASE("adding one member changes few connections", "[peer_choice]") {
  const Roster before = MakeRoster(60, 1);
  const Roster after = MakeRoster(61, 1);
  std::size_t lost = 0;
  std::size_t total = 0;
  for (const Member& member : before.Members()) {
    std::set<std::string> kept;
    for (const Member& peer : ChoosePeers(after, member.Id())) kept.insert(peer.Id());
    for (const Member& peer : ChoosePeers(before, member.Id())) {
      ++total;
      if (kept.count(peer.Id()) == 0) ++lost;
    }
  }
  INFO(lost << " of " << total);
  CHECK(lost * 4 < total);
}

}  // namespace
}  // namespace anvilcroft
