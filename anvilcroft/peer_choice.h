#ifndef ANVILCROFT_PEER_CHOICE_H_
#define ANVILCROFT_PEER_CHOICE_H_

// Which members keep a connection with which. Every instance computes the whole graph from its
// roster, so that both ends of a connection agree when their rosters do.
//
// Up to kFullMeshMembers members: all pairs. Beyond that each member has at most kMaxPeers peers,
// taken greedily in falling order of the pairs' rendezvous weights, which leaves most pairs as
// they are when a member comes or goes. Each member gets a peer in another region first, if there
// is one with room.

#include <cstddef>
#include <string>
#include <vector>

#include "anvilcroft/member.h"
#include "anvilcroft/roster.h"

namespace anvilcroft {

constexpr std::size_t kFullMeshMembers = 16;
constexpr std::size_t kMaxPeers = 8;

// The peers of the member called `self`, ordered by id. Without such a member: none.
std::vector<Member> ChoosePeers(const Roster& roster, const std::string& self);

}  // namespace anvilcroft

#endif  // ANVILCROFT_PEER_CHOICE_H_
