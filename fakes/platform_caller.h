#ifndef FAKES_PLATFORM_CALLER_H_
#define FAKES_PLATFORM_CALLER_H_

// Builds the requests of callers and trainers on the platform, for tests and the soak.

#include <cstdint>
#include <string>

#include "anvilcroft/http_request.h"

namespace anvilcroft::fakes {

struct StepShape {
  // The ids of items are prefix0, prefix1, ..., those of groups prefixg0, prefixg1, ...
  std::string item_prefix;
  int groups = 1;
  int items_per_group = 2;
  int step = 0;
  int64_t min_version = 1;
};

// Returns a request of a caller with the attempt id `attempt` and a deadline in `deadline_ms`
// milliseconds.
HttpRequest CallerRequest(const std::string& method, const std::string& target,
                          const std::string& attempt, const std::string& body,
                          const std::string& deadline_ms);

// Returns the body that submits a training step for model "m". The scorer of each item is on the
// route /lookup/.
std::string StepBody(const StepShape& shape);

}  // namespace anvilcroft::fakes

#endif  // FAKES_PLATFORM_CALLER_H_
