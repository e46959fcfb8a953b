#ifndef ANVILCROFT_SCALING_ORDER_SCHEDULE_H_
#define ANVILCROFT_SCALING_ORDER_SCHEDULE_H_

// When orders for the number of engines of one group (kind and zone) are sent and repeated.
//
// Load pattern: the platform's API gives no answer to some calls and carries them out seconds
// later, after newer ones; at times it takes 50 to 75 times as long as usual; it limits the rate of
// calls; and for some seconds it has no engines of a kind in a zone. Nothing can be read back, but
// the engines that appear show what was carried out.

#include <cstdint>
#include <optional>
#include <tuple>

#include "anvilcroft/time.h"

namespace anvilcroft {

// The fate of one order.
enum class CountOutcome {
  kAccepted,
  kUnavailable,  // no such engines are to be had there
  kLimited,      // too many calls; nothing was done
  kFailed,       // nothing was done
  kUnknown,      // no answer: the order may still be carried out
};

const char* CountOutcomeName(CountOutcome outcome);

// The least time between two calls for the same group, unless engines were taken away.
constexpr Duration kCallInterval = seconds(2);
// An order without an answer may be carried out this long after a later one was answered.
constexpr Duration kLateOrderTime = seconds(12);
// A group in which no engines are to be had is left out for this long.
constexpr Duration kUnavailableTime = seconds(4);
constexpr Duration kMinBackoff = seconds(1);
constexpr Duration kMaxBackoff = seconds(8);

// Wait after the last of `failures` calls in succession that failed: kMinBackoff, doubling to
// kMaxBackoff.
Duration OrderBackoff(int failures);

// The orders of one group. Times are TimePoint() for what has not happened.
struct GroupOrders {
  // The last number that the platform has accepted; nullopt: none, or it does not hold any more
  // because engines were taken away or refused.
  std::optional<int> accepted;
  std::optional<int> attempted;  // a number of which it is not known whether it was carried out
  int initial = 0;               // the engines that were present before the first order
  bool in_flight = false;
  bool repeats = false;  // the call in flight follows one without an answer
  int failures = 0;      // calls in succession that failed or were not answered
  TimePoint ordered_at;  // start of the last call
  TimePoint raised_at;   // start of the last call that raised the number
  TimePoint not_before;  // of the next call
  TimePoint unavailable_until;
  TimePoint uncertain_until;  // an earlier order may be carried out until then
  TimePoint lost_at;          // when the platform last took engines of the group away

  // The number that the platform aims at, with `present` engines if nothing is known.
  int Intended(int present) const;
  bool Settled(TimePoint now) const {
    return !this->in_flight && !this->attempted && now >= this->uncertain_until;
  }

  friend bool operator==(const GroupOrders& a, const GroupOrders& b) {
    return std::tie(a.accepted, a.attempted, a.initial, a.in_flight, a.repeats, a.failures,
                    a.ordered_at, a.raised_at, a.not_before, a.unavailable_until, a.uncertain_until,
                    a.lost_at) == std::tie(b.accepted, b.attempted, b.initial, b.in_flight,
                                           b.repeats, b.failures, b.ordered_at, b.raised_at,
                                           b.not_before, b.unavailable_until, b.uncertain_until,
                                           b.lost_at);
  }
  friend bool operator!=(const GroupOrders& a, const GroupOrders& b) { return !(a == b); }
};

// The state after a call for `count` engines has been started at `now`.
GroupOrders WithCall(GroupOrders orders, int count, TimePoint now);
// The state after the call for `count` engines has ended at `now`.
GroupOrders WithOutcome(GroupOrders orders, int count, CountOutcome outcome, TimePoint now);

// The state after the platform has announced at `now` that it takes engines away.
GroupOrders WithLoss(GroupOrders orders, TimePoint now);

// Returns the number of engines to order at `now`, or nullopt. `planned`: the number that the group
// should have, if it differs from what the platform aims at; `present`: engines that appear;
// `boot_time`: from an order to the appearance of an engine.
std::optional<int> NextOrder(const GroupOrders& orders, std::optional<int> planned, int present,
                             Duration boot_time, TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_SCALING_ORDER_SCHEDULE_H_
