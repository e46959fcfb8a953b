#include "anvilcroft/path_monitor.h"

#include <algorithm>

namespace anvilcroft {

void PathMonitor::OnConnected(TimePoint now) {
  this->unreachable.clear();
  this->reached_at = now;
}

void PathMonitor::OnUnreachable(const std::string& target, TimePoint now) {
  if (this->unreachable.empty()) this->suspicious_since = now;
  this->unreachable.insert(target);
}

bool PathMonitor::CutOff(std::size_t targets) const {
  return targets > 0 && this->unreachable.size() >= std::min(targets, kMinTargets);
}

}  // namespace anvilcroft
