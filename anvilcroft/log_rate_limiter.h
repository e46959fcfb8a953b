#ifndef ANVILCROFT_LOG_RATE_LIMITER_H_
#define ANVILCROFT_LOG_RATE_LIMITER_H_

// Limits the log lines of each part, so that a burst of requests neither costs much time nor hides
// the lines of other parts. Warnings and errors have a budget of their own beside that of
// successes.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "anvilcroft/time.h"

namespace anvilcroft {

class LogBudget {
 public:
  // Lines a second of one part at one severity, and how many may come at once. At 150 bytes a line
  // a part writes at most 30 KB/s.
  static constexpr double kLinesPerSecond = 100;
  static constexpr double kBurst = 400;

  // Whether a line of `part` may be written at `now`: the number of its lines left out since the
  // last one written, or nullopt if this one is left out too.
  std::optional<int64_t> Admit(std::string_view part, bool failure, TimePoint now);

 private:
  struct Bucket {
    double tokens = kBurst;
    TimePoint filled_at;
    int64_t left_out = 0;
  };

  std::map<std::pair<std::string, bool>, Bucket, std::less<>> buckets;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOG_RATE_LIMITER_H_
