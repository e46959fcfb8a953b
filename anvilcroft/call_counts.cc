#include "anvilcroft/call_counts.h"

namespace anvilcroft {
namespace {

int64_t SecondOf(TimePoint time) {
  return std::chrono::duration_cast<seconds>(time.time_since_epoch()).count();
}

}  // namespace

const char* CallPurposeName(CallPurpose purpose) {
  switch (purpose) {
    case CallPurpose::kRequest:
      return "request";
    case CallPurpose::kStream:
      return "stream";
    case CallPurpose::kItem:
      return "item";
    case CallPurpose::kOrder:
      return "order";
    case CallPurpose::kReport:
      return "report";
  }
  return "request";
}

void CallCounts::Add(CallPurpose purpose, TimePoint now) {
  const int64_t number = SecondOf(now);
  Second& second =
      this->recent_seconds[static_cast<std::size_t>(number) % this->recent_seconds.size()];
  if (second.number != number) second = Second{number, {}};
  ++second.calls[static_cast<std::size_t>(purpose)];
}

CallCounts::ByPurpose CallCounts::Recent(TimePoint now) const {
  ByPurpose sum{};
  const int64_t current = SecondOf(now);
  for (const Second& second : this->recent_seconds) {
    if (second.number < 0 || current - second.number > static_cast<int64_t>(kWindowSeconds))
      continue;
    for (std::size_t i = 0; i < kCallPurposes; ++i) sum[i] += second.calls[i];
  }
  return sum;
}

}  // namespace anvilcroft
