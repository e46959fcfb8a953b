#include "anvilcroft/customers/peer_query_schedule.h"

#include <algorithm>
#include <utility>

namespace anvilcroft {

TimePoint PeerQuerySchedule::NextRound(TimePoint answered_at) const {
  return std::max(this->next, answered_at + kUnconfirmedLimit);
}

void PeerQuerySchedule::OnRound(const std::string& peer, TimePoint now) {
  this->confirmed_by = peer;
  this->next = now + (peer.empty() ? kUnconfirmedInterval : kInterval);
}

std::vector<std::string> PeerQuerySchedule::ChoosePeers(std::vector<std::string> addresses,
                                                        std::mt19937_64& random) const {
  std::shuffle(addresses.begin(), addresses.end(), random);
  const auto known = std::find(addresses.begin(), addresses.end(), this->confirmed_by);
  if (known != addresses.end()) std::iter_swap(addresses.begin(), known);
  if (addresses.size() > kPeersPerRound) addresses.resize(kPeersPerRound);
  return addresses;
}

}  // namespace anvilcroft
