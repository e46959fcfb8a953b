#ifndef ANVILCROFT_RELAY_CHOICE_H_
#define ANVILCROFT_RELAY_CHOICE_H_

// Chooses the instance through which a request is sent to a target that this instance cannot reach.
// Pure.
//
// Load pattern: some instances, most of them or all of a zone lose their paths at the same moment,
// and each learns only from its own requests that it has. So the instance that relayed last is
// preferred, and otherwise one of another zone.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/front_record.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct RelayContext {
  std::string self;
  std::string zone;                         // of this instance
  std::set<std::string> tried;              // instances that this request has been sent through
  std::map<std::string, TimePoint> failed;  // when an instance last failed to relay
  Duration failed_pause = seconds(1);       // for how long it is left out
  std::string last_relay;                   // the instance that relayed last; may be empty
  double random = 0;                        // uniform in [0, 1)
};

// Returns null if no instance is left.
const FrontRecord* ChooseRelay(const std::vector<FrontRecord>& fronts, const RelayContext& context,
                               TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_RELAY_CHOICE_H_
