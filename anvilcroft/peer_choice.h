#ifndef ANVILCROFT_PEER_CHOICE_H_
#define ANVILCROFT_PEER_CHOICE_H_

// Selects the pairs of members that keep a connection. Every instance computes the whole graph from
// its roster, so both ends of a connection agree if their rosters are equal.
//
// Up to kFullMeshMembers members form a full mesh. In a larger cluster each member has at most
// kMaxPeers peers, selected greedily in descending order of the pairs' rendezvous weights, so that
// most pairs stay the same when a member joins or leaves. Each member first gets a peer in another
// region, if one has capacity left.

#include <cstddef>
#include <string>
#include <vector>

#include "anvilcroft/member.h"
#include "anvilcroft/roster.h"

namespace anvilcroft {

constexpr std::size_t kFullMeshMembers = 16;
constexpr std::size_t kMaxPeers = 8;

// Returns the peers of the member with the id `self`, ordered by id; none if there is no such
// member.
std::vector<Member> ChoosePeers(const Roster& roster, const std::string& self);

}  // namespace anvilcroft

#endif  // ANVILCROFT_PEER_CHOICE_H_
