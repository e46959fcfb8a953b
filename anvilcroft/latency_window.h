#ifndef ANVILCROFT_LATENCY_WINDOW_H_
#define ANVILCROFT_LATENCY_WINDOW_H_

// Quantiles of the latest latencies of one kind of work. Uses a sliding window rather than a
// running estimate, because the hedge delay has to follow a change of load within a few hundred
// requests.

#include <cstddef>
#include <optional>
#include <vector>

#include "anvilcroft/time.h"

namespace anvilcroft {

class LatencyWindow {
 public:
  static constexpr std::size_t kSize = 256;
  // With fewer samples there is no quantile: the 95th percentile of a few samples is their maximum.
  static constexpr std::size_t kMinSamples = 20;

  void Add(Duration latency);

  // Returns the `q` quantile (0 to 1) of the window, or nullopt with fewer than kMinSamples.
  std::optional<Duration> Quantile(double q) const;

 private:
  std::vector<Duration> latencies;
  std::size_t next = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LATENCY_WINDOW_H_
