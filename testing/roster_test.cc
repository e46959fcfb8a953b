// Tests of ownership: instances whose rosters have the same members compute the same owner, and a
// member that leaves changes the owner of its own items only.

#include "anvilcroft/roster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "anvilcroft/hash.h"

namespace anvilcroft {
namespace {

Member MakeMember(const std::string& id, Member::State state = Member::State::kServing,
                  RowVersion epoch = 1) {
  return Member::Builder().SetId(id).SetZone("a").SetEpoch(epoch).SetState(state).Build();
}

std::vector<Member> MakeMembers(int count) {
  std::vector<Member> members;
  for (int i = 0; i < count; ++i) members.push_back(MakeMember("i-" + std::to_string(i)));
  return members;
}

TEST_CASE("the owner does not depend on the order of members", "[roster]") {
  std::mt19937_64 random(1);
  std::vector<Member> members = MakeMembers(12);
  const Roster roster(1, members);
  for (int round = 0; round < 50; ++round) {
    std::shuffle(members.begin(), members.end(), random);
    const Roster shuffled(1, members);
    REQUIRE(shuffled == roster);
    const std::string item = "target-" + std::to_string(round);
    CHECK(shuffled.OwnerOf(item)->Id() == roster.OwnerOf(item)->Id());
  }
}

TEST_CASE("a member that leaves changes the owner of its own items only", "[roster]") {
  const std::vector<Member> members = MakeMembers(10);
  const Roster before(1, members);
  for (std::size_t removed = 0; removed < members.size(); ++removed) {
    std::vector<Member> rest = members;
    if (removed % 2 == 0) {
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
    } else {
      rest[removed] = MakeMember(members[removed].Id(), Member::State::kLeaving);
    }
    const Roster after(2, rest);
    for (int i = 0; i < 200; ++i) {
      const std::string item = "item-" + std::to_string(i);
      const std::string owner = before.OwnerOf(item)->Id();
      if (owner == members[removed].Id()) {
        CHECK(after.OwnerOf(item)->Id() == before.Preferred(item, 2)[1].Id());
      } else {
        CHECK(after.OwnerOf(item)->Id() == owner);
      }
    }
  }
}

TEST_CASE("ownership is spread evenly over the members", "[roster]") {
  const Roster roster(1, MakeMembers(10));
  std::map<std::string, int> items;
  for (int i = 0; i < 5000; ++i) ++items[roster.OwnerOf("item-" + std::to_string(i))->Id()];
  CHECK(items.size() == 10);
  // The expected number is 500, with a standard deviation of 21.
  for (const auto& [id, count] : items) CHECK((count > 390 && count < 610));
}

TEST_CASE("the order of preference equals that of sorting all weights", "[roster]") {
  const std::vector<Member> members = MakeMembers(9);
  const Roster roster(1, members);
  for (int i = 0; i < 100; ++i) {
    const std::string item = "item-" + std::to_string(i);
    std::map<uint64_t, std::string> by_weight;
    for (const Member& member : members) {
      by_weight[RendezvousWeight(member.Id(), item)] = member.Id();
    }
    std::vector<std::string> expected;
    for (auto at = by_weight.rbegin(); at != by_weight.rend(); ++at) expected.push_back(at->second);
    std::vector<std::string> actual;
    for (const Member& member : roster.Preferred(item, 99)) actual.push_back(member.Id());
    CHECK(actual == expected);
    CHECK(roster.OwnerOf(item)->Id() == expected.front());
  }
}

TEST_CASE("of two entries of one instance the one with the higher epoch is kept", "[roster]") {
  const Roster roster(1, {MakeMember("a", Member::State::kServing, 5),
                          MakeMember("a", Member::State::kLeaving, 9)});
  REQUIRE(roster.Members().size() == 1);
  CHECK(roster.Find("a")->Epoch() == 9);
  CHECK(roster.Find("b") == nullptr);
  CHECK(roster.Serving().empty());
  CHECK(roster.OwnerOf("item") == nullptr);
}

TEST_CASE("hashes have fixed values, so that all instances agree", "[hash]") {
  // SHA-256 of "abc" by FIPS 180-2.
  CHECK(StableHash("abc") == 0xba7816bf8f01cfeaULL);
  CHECK(HexDigest("abc") == "ba7816bf8f01cfea414140de5dae2223");
  CHECK(RendezvousWeight("a", "b") != RendezvousWeight("b", "a"));
  CHECK(RendezvousWeight("ab", "c") != RendezvousWeight("a", "bc"));
}

}  // namespace
}  // namespace anvilcroft
