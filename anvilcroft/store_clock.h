#ifndef ANVILCROFT_STORE_CLOCK_H_
#define ANVILCROFT_STORE_CLOCK_H_

// What this instance knows of the metadata store's clock.
//
// An answer of the store carries a reading of its clock, taken at some time between the sending of
// the call and the reading of the answer. That can be seconds: an answer may wait in the kernel
// while this process is stopped, come from a slow store, or belong to a call that waits for
// changes. So a reading bounds the store's clock from both sides, and the bounds of several
// readings are combined (Marzullo and Owicki, "Maintaining the time in a distributed system",
// 1983).

#include <cstdint>
#include <tuple>

#include "anvilcroft/time.h"

namespace anvilcroft {

// Milliseconds on the store's monotonic clock.
using StoreMillis = int64_t;

// The store's clock at one moment: not before `earliest` and not after `latest`. There is no single
// value, because each use has one safe end:
//   a time that something is kept until or counts from, where too early breaks a promise: `latest`;
//   the present time that a stored time is compared with, before something is given up: `earliest`.
struct StoreTimeRange {
  StoreMillis earliest = 0;
  StoreMillis latest = 0;

  // Whether the store has answered yet; if not, nothing is known of its clock.
  bool Known() const { return this->latest != 0; }

  friend bool operator==(const StoreTimeRange& a, const StoreTimeRange& b) {
    return std::tie(a.earliest, a.latest) == std::tie(b.earliest, b.latest);
  }
  friend bool operator!=(const StoreTimeRange& a, const StoreTimeRange& b) { return !(a == b); }
};

class StoreClock {
 public:
  // The clocks of the store and of this machine differ in rate by this share at most.
  static constexpr double kMaxDrift = 0.001;

  // Applies a reading of the store's clock in the answer to a call that was sent at `sent` and read
  // at `read`. `sent` must not be later than the first byte of the call. A reading that contradicts
  // the earlier ones replaces them: the store's clock has been set.
  void Apply(StoreMillis reading, BootTime sent, BootTime read);

  // The store's clock at `now`, which must not be earlier than the last reading.
  StoreTimeRange At(BootTime now) const;

 private:
  // Offset of the store's clock from this machine's, in microseconds, as known at `known_at`.
  struct Bound {
    int64_t offset = 0;
    BootTime known_at = BootTime::zero();

    // Microseconds by which the clocks may have drifted apart since.
    int64_t DriftUntil(BootTime now) const;
  };

  bool known = false;
  Bound lower;
  Bound upper;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STORE_CLOCK_H_
