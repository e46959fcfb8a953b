#ifndef ANVILCROFT_USAGE_USAGE_WINDOW_H_
#define ANVILCROFT_USAGE_USAGE_WINDOW_H_

// The windows of usage reports, and how often each instance writes its counts. Pure.
//
// Load: about 60 requests of 81 customers in a window of 5 s, so a request that is counted in the
// wrong window makes the figure of its customer wrong in two reports.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "anvilcroft/time.h"

namespace anvilcroft {

// Requests that began in a window, by customer.
using UsageCounts = std::map<std::string, int64_t>;

// Window k begins k window lengths after the Unix epoch.
class UsageWindows {
 public:
  explicit UsageWindows(Duration length);

  int64_t WindowAt(WallMillis time) const;
  WallMillis BeginOf(int64_t window) const { return window * this->length_ms; }
  WallMillis EndOf(int64_t window) const { return (window + 1) * this->length_ms; }
  // The first window that begins at `time` or later.
  int64_t FirstWholeFrom(WallMillis time) const;
  int64_t LengthMillis() const { return this->length_ms; }

 private:
  int64_t length_ms;
};

// How an instance paces the writes of its counts.
struct UsagePace {
  Duration interval;  // shortest time between two writes of one window that is not final
  Duration spread;    // final rows are written within this time after they are known
};

// All instances together use at most a tenth of the store's writes. Final rows come first, one per
// window and instance; the other writes share what is left.
UsagePace PaceOfUsageWrites(std::size_t instances, double store_writes_per_s, Duration window);

// The shortest time between two reports to the cloud API. Engine scaling has the same limit on
// calls, so reports leave it half of them as long as that allows one report per window.
Duration ReportInterval(double calls_per_s, Duration window);

}  // namespace anvilcroft

#endif  // ANVILCROFT_USAGE_USAGE_WINDOW_H_
