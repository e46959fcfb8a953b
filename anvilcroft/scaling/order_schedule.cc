#include "anvilcroft/scaling/order_schedule.h"

#include <algorithm>

namespace anvilcroft {
namespace {

// Engines that have not appeared this long after their boot time were not started.
constexpr Duration kMissingMargin = seconds(2);
// Time between repeats of an accepted order whose engines do not appear.
constexpr Duration kMissingInterval = seconds(4);

}  // namespace

const char* CountOutcomeName(CountOutcome outcome) {
  switch (outcome) {
    case CountOutcome::kAccepted:
      return "accepted";
    case CountOutcome::kUnavailable:
      return "unavailable";
    case CountOutcome::kLimited:
      return "limited";
    case CountOutcome::kFailed:
      return "failed";
    case CountOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Duration OrderBackoff(int failures) {
  Duration backoff = kMinBackoff;
  for (int i = 1; i < failures && backoff < kMaxBackoff; ++i) backoff *= 2;
  return std::min(backoff, kMaxBackoff);
}

int GroupOrders::Intended(int present) const {
  // Of two numbers, either of which may hold, the higher one takes no engines away.
  if (this->attempted) return std::max(*this->attempted, this->accepted.value_or(present));
  return this->accepted.value_or(present);
}

GroupOrders WithCall(GroupOrders orders, int count, TimePoint now) {
  orders.in_flight = true;
  orders.ordered_at = now;
  // Repeats don't make missing engines count as booting again.
  const int known = std::max(orders.accepted.value_or(-1), orders.attempted.value_or(-1));
  if (count > known) orders.raised_at = now;
  orders.repeats = orders.attempted.has_value();
  orders.attempted = std::max(count, orders.attempted.value_or(count));
  return orders;
}

GroupOrders WithOutcome(GroupOrders orders, int count, CountOutcome outcome, TimePoint now) {
  orders.in_flight = false;
  switch (outcome) {
    case CountOutcome::kAccepted:
      orders.accepted = count;
      orders.attempted.reset();
      orders.failures = 0;
      // The call without an answer may be carried out after this one.
      if (orders.repeats) orders.uncertain_until = now + kLateOrderTime;
      break;
    case CountOutcome::kUnavailable:
      orders.accepted.reset();
      orders.attempted.reset();
      orders.failures = 0;
      orders.unavailable_until = now + kUnavailableTime;
      break;
    case CountOutcome::kLimited:
    case CountOutcome::kFailed:
      if (!orders.repeats) orders.attempted.reset();
      ++orders.failures;
      orders.not_before = now + OrderBackoff(orders.failures);
      break;
    case CountOutcome::kUnknown:
      ++orders.failures;
      orders.not_before = now + OrderBackoff(orders.failures);
      orders.uncertain_until = now + kLateOrderTime;
      break;
  }
  return orders;
}

GroupOrders WithLoss(GroupOrders orders, TimePoint now) {
  orders.accepted.reset();
  orders.lost_at = now;
  return orders;
}

std::optional<int> NextOrder(const GroupOrders& orders, std::optional<int> planned, int present,
                             Duration boot_time, TimePoint now) {
  if (orders.in_flight || now < orders.not_before || now < orders.unavailable_until) {
    return std::nullopt;
  }
  const bool lost = orders.lost_at > orders.ordered_at;
  if (now - orders.ordered_at < kCallInterval && !lost) return std::nullopt;
  if (planned) return planned;
  if (orders.attempted) return orders.Intended(present);
  if (!orders.accepted || present == *orders.accepted) return std::nullopt;
  // An earlier order may have been carried out after the last one.
  if (now < orders.uncertain_until) return orders.accepted;
  const bool missing =
      present < *orders.accepted &&
      now - orders.ordered_at >= std::max<Duration>(boot_time + kMissingMargin, kMissingInterval);
  return missing ? orders.accepted : std::nullopt;
}

}  // namespace anvilcroft
