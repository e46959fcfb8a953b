#ifndef ANVILCROFT_TARGET_CHOICE_H_
#define ANVILCROFT_TARGET_CHOICE_H_

// Chooses the target of one short request.
//
// Load pattern: a few app targets with few slots each, shared by all instances, of which at any
// moment one may be slow, full, failing or silent. The choice minimizes the expected time to an
// answer: time of the work, wait behind requests that hold the slots, distance, and the time that
// a failure costs.

#include <set>
#include <string>
#include <vector>

#include "anvilcroft/target_pool.h"

namespace anvilcroft {

struct ChoiceContext {
  std::string zone;                             // of this instance
  std::set<std::string> excluded;               // targets that have been tried
  Duration default_latency = milliseconds(30);  // of the service, for targets without history
  Duration failure_cost = milliseconds(200);    // time lost by a request that fails
  double random = 0;                            // from [0, 1): decides among equals
};

// Expected time to the answer of a request that is sent to `target` now.
Duration ExpectedLatency(const PoolTarget& target, const ChoiceContext& context, TimePoint now);

// Null if every candidate is excluded.
const PoolTarget* ChooseTarget(const std::vector<const PoolTarget*>& candidates,
                               const ChoiceContext& context, TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_CHOICE_H_
