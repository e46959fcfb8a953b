#ifndef ANVILCROFT_CALL_COUNTS_H_
#define ANVILCROFT_CALL_COUNTS_H_

// Numbers of recent calls of this instance to one target, by purpose.

#include <array>
#include <cstddef>
#include <cstdint>

#include "anvilcroft/time.h"

namespace anvilcroft {

// What a call to a target is for. A target counts each of them as a request.
enum class CallPurpose {
  kRequest,  // a short request of a caller, or a scoring request
  kStream,   // a stream of a caller
  kItem,     // a run of a batch item
  kOrder,    // a weight order
  kReport,   // a read of the target's status
};

constexpr std::size_t kCallPurposes = 5;

// Name of `purpose` in logs and metrics.
const char* CallPurposeName(CallPurpose purpose);

class CallCounts {
 public:
  using ByPurpose = std::array<int, kCallPurposes>;

  // Number of whole seconds that are counted.
  static constexpr std::size_t kWindowSeconds = 4;

  void Add(CallPurpose purpose, TimePoint now);

  // The calls in the current second and the kWindowSeconds before it.
  ByPurpose Recent(TimePoint now) const;

 private:
  struct Second {
    int64_t number = -1;  // since the epoch of the clock; -1: not used yet
    ByPurpose calls{};
  };

  std::array<Second, kWindowSeconds + 1> recent_seconds;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CALL_COUNTS_H_
