#ifndef ANVILCROFT_CALLER_LIMITS_H_
#define ANVILCROFT_CALLER_LIMITS_H_

// Limits on the size of a caller's requests and on the time it may take to send them.

#include <cstddef>
#include <tuple>

#include "anvilcroft/time.h"

namespace anvilcroft {

struct CallerLimits {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 32 << 20;
  Duration header_timeout = seconds(3);  // to send the whole header block
  Duration idle_timeout = seconds(15);   // between requests on an open connection

  friend bool operator==(const CallerLimits& a, const CallerLimits& b) {
    return std::tie(a.max_header_bytes, a.max_body_bytes, a.header_timeout, a.idle_timeout) ==
           std::tie(b.max_header_bytes, b.max_body_bytes, b.header_timeout, b.idle_timeout);
  }
  friend bool operator!=(const CallerLimits& a, const CallerLimits& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CALLER_LIMITS_H_
