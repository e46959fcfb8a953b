#ifndef ANVILCROFT_CUSTOMERS_PEER_QUERY_SCHEDULE_H_
#define ANVILCROFT_CUSTOMERS_PEER_QUERY_SCHEDULE_H_

// Decides when an instance asks other instances for a newer configuration, and which ones. Pure.
//
// Load pattern: the store rejects the calls of one instance for seconds while it serves the others.
// A customer revokes a key meanwhile, which must be in force within 3 s of the acknowledgement. An
// undisturbed instance gets an answer to its feed each 0.6 s, so it never asks. While the store
// rejects all instances, none has news, and with hundreds of instances the queries must stay few.

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "anvilcroft/time.h"

namespace anvilcroft {

class PeerQuerySchedule {
 public:
  // Other instances are asked when the store has not answered the feed for this long.
  static constexpr Duration kUnconfirmedLimit = seconds(1);
  // Interval of the rounds of queries. After a round in which no instance could confirm its own
  // configuration the store is probably unavailable to all, and the longer one applies.
  static constexpr Duration kInterval = milliseconds(500);
  static constexpr Duration kUnconfirmedInterval = seconds(1);
  // An instance whose configuration the store has confirmed within this time ends a round. The
  // confirmation counts from the start of a feed call of up to 0.6 s, so it is at most 1.25 s old
  // where the store answers.
  static constexpr Duration kFreshAge = milliseconds(1500);
  // Instances asked in one round, one after the other.
  static constexpr std::size_t kPeersPerRound = 3;

  // The time from which a round of queries may begin. `answered_at`: when the store last answered.
  TimePoint NextRound(TimePoint answered_at) const;

  // Records the end of a round. `confirmed_by`: the address of the instance whose configuration was
  // fresh; empty: none was.
  void OnRound(const std::string& confirmed_by, TimePoint now);

  // Returns the instances to ask in a round: the one that confirmed last, if it is among
  // `addresses`, then others at random.
  std::vector<std::string> ChoosePeers(std::vector<std::string> addresses,
                                       std::mt19937_64& random) const;

 private:
  TimePoint next;            // earliest time of the next round
  std::string confirmed_by;  // in the last round
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CUSTOMERS_PEER_QUERY_SCHEDULE_H_
