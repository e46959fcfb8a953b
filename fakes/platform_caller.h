#ifndef FAKES_PLATFORM_CALLER_H_
#define FAKES_PLATFORM_CALLER_H_

// What callers and trainers of the platform send, for tests and the soak.

#include <cstdint>
#include <string>

#include "anvilcroft/http_request.h"

namespace anvilcroft::fakes {

struct StepShape {
  std::string
      item_prefix;  // items are called prefix0, prefix1, ..., groups prefixg0, prefixg1, ...
  int groups = 1;
  int items_per_group = 2;
  int step = 0;
  int64_t min_version = 1;
};

// A request of a caller: one attempt with the id `attempt`, which waits for `deadline_ms`.
HttpRequest CallerRequest(const std::string& method, const std::string& target,
                          const std::string& attempt, const std::string& body,
                          const std::string& deadline_ms);

// The body that submits a training step for model "m", each item judged by the route /lookup/.
std::string StepBody(const StepShape& shape);

}  // namespace anvilcroft::fakes

#endif  // FAKES_PLATFORM_CALLER_H_
