#ifndef ANVILCROFT_PATH_QUERY_H_
#define ANVILCROFT_PATH_QUERY_H_

// What the choice of the path to a target depends on: directly, or through another instance
// (target_relay.h).

#include <memory>
#include <set>
#include <string>

#include "anvilcroft/time.h"

namespace anvilcroft {

struct PathQuery {
  // A target to which the request was sent directly at `silent_since` and which has not answered;
  // empty: none. Another path is used if no other target has answered since either.
  std::string silent_target;
  TimePoint silent_since;
  // The request must not be sent on a path that may be lost, because it may run once only.
  bool verify = false;
  // Another instance may have sent a request with the same id, also through the instance that is to
  // relay this one. It is then relayed over a new connection to the target.
  bool id_repeats = false;
  // The instances that are not to relay the request: those that could not, and those through which
  // an attempt is under way. Shared by all attempts of a request.
  std::shared_ptr<std::set<std::string>> tried = std::make_shared<std::set<std::string>>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PATH_QUERY_H_
