#include "anvilcroft/latency_window.h"

#include <algorithm>

namespace anvilcroft {

void LatencyWindow::Add(Duration latency) {
  if (this->latencies.size() < kSize) {
    this->latencies.push_back(latency);
    return;
  }
  this->latencies[this->next] = latency;
  this->next = (this->next + 1) % kSize;
}

std::optional<Duration> LatencyWindow::Quantile(double q) const {
  if (this->latencies.size() < kMinSamples) return std::nullopt;
  std::vector<Duration> sorted = this->latencies;
  const auto index = static_cast<std::ptrdiff_t>(q * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
  return sorted[static_cast<std::size_t>(index)];
}

}  // namespace anvilcroft
