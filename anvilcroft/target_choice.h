#ifndef ANVILCROFT_TARGET_CHOICE_H_
#define ANVILCROFT_TARGET_CHOICE_H_

// Chooses the target of one short request.
//
// Expected load: a few app targets with few slots each, shared by all instances. At any moment one
// of them may be slow, full, failing or unresponsive. The choice minimizes the expected time to an
// answer: service time, queueing behind requests that occupy the slots, network distance, the wait
// for a permit where a target limits its requests, and the time lost by a failure.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/target_pool.h"

namespace anvilcroft {

struct ChoiceContext {
  std::string zone;                             // of this instance
  std::set<std::string> excluded;               // targets that have been tried
  Duration default_latency = milliseconds(30);  // for targets without a recent latency
  Duration failure_cost = milliseconds(200);    // time lost by a request that fails
  double random = 0;                            // uniform in [0, 1); breaks ties
  // The targets that limit their requests, by id, with the time until the next permit.
  std::map<std::string, Duration> permit_waits;
};

// The expected time until `target` answers a request that is sent now.
Duration ExpectedLatency(const PoolTarget& target, const ChoiceContext& context, TimePoint now);

// Returns the candidate with the lowest expected latency, chosen at random among those close to it.
// Returns null if every candidate is excluded.
const PoolTarget* ChooseTarget(const std::vector<const PoolTarget*>& candidates,
                               const ChoiceContext& context, TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_CHOICE_H_
