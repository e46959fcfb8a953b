#include "anvilcroft/item_text.h"

#include <algorithm>

namespace anvilcroft {

void ItemText::Add(const std::string& event, int64_t version) {
  if (this->events > 0) this->data += '\n';
  this->data += event;
  ++this->events;
  this->last_version = version;
  const auto known = std::find(this->versions.begin(), this->versions.end(), version);
  if (known == this->versions.end()) this->versions.push_back(version);
}

bool ItemText::HasRoom(std::size_t event_bytes, int64_t max_events) const {
  return (max_events <= 0 || this->events < max_events) &&
         this->data.size() + event_bytes < kMaxBytes;
}

bool ItemText::VersionsAllowed(int64_t min_version, bool single) const {
  if (single && this->versions.size() > 1) return false;
  return std::all_of(this->versions.begin(), this->versions.end(),
                     [min_version](int64_t version) { return version >= min_version; });
}

double ExpectedEventsLeft(double expected_events, double max_events, int64_t generated) {
  // An item beyond its estimate is expected to add this share of the events generated so far, plus
  // the minimum.
  constexpr double kOverrunShare = 0.4;
  constexpr double kMinEventsLeft = 2;
  const double done = static_cast<double>(generated);
  const double left = std::max(expected_events - done, kOverrunShare * done + kMinEventsLeft);
  return max_events > 0 ? std::min(left, std::max(1.0, max_events - done)) : left;
}

}  // namespace anvilcroft
