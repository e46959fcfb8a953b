// Tests when orders for engines are repeated, and the rows from which a successor continues.

#include "anvilcroft/scaling/order_schedule.h"

#include <catch2/catch.hpp>

#include "anvilcroft/scaling/order_record.h"

namespace anvilcroft {
namespace {

const TimePoint kStart = TimePoint() + seconds(1000);
const Duration kBoot = seconds(4);

GroupOrders Call(GroupOrders orders, int count, CountOutcome outcome, TimePoint now,
                 Duration took = milliseconds(20)) {
  return WithOutcome(WithCall(std::move(orders), count, now), count, outcome, now + took);
}

std::optional<int> Next(const GroupOrders& orders, int present, TimePoint now) {
  return NextOrder(orders, std::nullopt, present, kBoot, now);
}

TEST_CASE("the backoff doubles from 1 s to 8 s", "[scaling]") {
  CHECK(OrderBackoff(1) == seconds(1));
  CHECK(OrderBackoff(2) == seconds(2));
  CHECK(OrderBackoff(4) == seconds(8));
  CHECK(OrderBackoff(50) == seconds(8));
}

TEST_CASE("a group is ordered at most every 2 s unless engines were lost", "[scaling]") {
  GroupOrders orders = Call({}, 5, CountOutcome::kAccepted, kStart);
  CHECK_FALSE(NextOrder(orders, 6, 0, kBoot, kStart + milliseconds(1900)));
  CHECK(NextOrder(orders, 6, 0, kBoot, kStart + seconds(2)) == 6);
  orders = WithLoss(orders, kStart + milliseconds(500));
  CHECK(NextOrder(orders, 6, 0, kBoot, kStart + milliseconds(600)) == 6);
}

// Guards against an order that is lost without an answer: the engines would never come.
TEST_CASE("an order without an answer is repeated until it is answered", "[scaling]") {
  GroupOrders orders = Call({}, 5, CountOutcome::kUnknown, kStart, seconds(2));
  CHECK_FALSE(Next(orders, 0, kStart + milliseconds(2900)));
  CHECK(Next(orders, 0, kStart + seconds(3)) == 5);
  orders = Call(orders, 5, CountOutcome::kUnknown, kStart + seconds(3), seconds(2));
  CHECK_FALSE(Next(orders, 5, kStart + milliseconds(6900)));
  CHECK(Next(orders, 5, kStart + seconds(7)) == 5);
  orders = Call(orders, 5, CountOutcome::kAccepted, kStart + seconds(7));
  CHECK_FALSE(Next(orders, 5, kStart + seconds(10)));
}

// Guards against a late execution of an unanswered order that undoes a newer one.
TEST_CASE("for 12 s after an unanswered order, the number is sent again if it does not hold",
          "[scaling]") {
  GroupOrders orders = Call({}, 5, CountOutcome::kUnknown, kStart, seconds(2));
  orders = Call(orders, 8, CountOutcome::kAccepted, kStart + seconds(3));
  CHECK_FALSE(orders.Settled(kStart + seconds(14)));
  CHECK(Next(orders, 5, kStart + seconds(6)) == 8);
  CHECK(Next(orders, 12, kStart + seconds(6)) == 8);
  CHECK_FALSE(Next(orders, 8, kStart + seconds(6)));
  CHECK(orders.Settled(kStart + seconds(16)));
  // Repeats that are answered don't extend the time.
  const GroupOrders again = Call(orders, 8, CountOutcome::kAccepted, kStart + seconds(6));
  CHECK(again.uncertain_until == orders.uncertain_until);
}

TEST_CASE("of two numbers that may hold, the higher one counts", "[scaling]") {
  GroupOrders orders = Call({}, 9, CountOutcome::kAccepted, kStart);
  orders = Call(orders, 8, CountOutcome::kUnknown, kStart + seconds(10), seconds(2));
  CHECK(orders.Intended(9) == 9);
  CHECK(Next(orders, 9, kStart + seconds(13)) == 9);
  CHECK_FALSE(orders.Settled(kStart + seconds(20)));
}

TEST_CASE("a refused order leaves the group out for 4 s", "[scaling]") {
  GroupOrders orders = Call({}, 5, CountOutcome::kUnavailable, kStart);
  CHECK(orders.Intended(0) == 0);
  CHECK_FALSE(NextOrder(orders, 5, 0, kBoot, kStart + seconds(3)));
  CHECK(NextOrder(orders, 5, 0, kBoot, kStart + milliseconds(4100)) == 5);
}

TEST_CASE("failed and limited orders back off and are not taken for open ones", "[scaling]") {
  for (const CountOutcome outcome : {CountOutcome::kFailed, CountOutcome::kLimited}) {
    GroupOrders orders = Call({}, 5, outcome, kStart);
    CHECK_FALSE(orders.attempted);
    CHECK(orders.not_before == kStart + milliseconds(1020));
    orders = Call(orders, 5, outcome, kStart + seconds(2));
    CHECK(orders.not_before == kStart + milliseconds(4020));
  }
  GroupOrders orders = Call({}, 5, CountOutcome::kUnknown, kStart, seconds(2));
  orders = Call(orders, 5, CountOutcome::kLimited, kStart + seconds(3));
  CHECK(orders.attempted == 5);  // the first call may still be carried out
}

TEST_CASE("an accepted order whose engines do not appear is repeated after the boot time",
          "[scaling]") {
  const GroupOrders orders = Call({}, 5, CountOutcome::kAccepted, kStart);
  CHECK_FALSE(Next(orders, 3, kStart + milliseconds(5900)));
  CHECK(Next(orders, 3, kStart + seconds(6)) == 5);
  CHECK_FALSE(Next(orders, 5, kStart + seconds(6)));
  // Guards against engines that never come but count as booting after each repeat.
  CHECK(Call(orders, 5, CountOutcome::kAccepted, kStart + seconds(6)).raised_at == kStart);
}

TEST_CASE("after a loss, the number before counts no more", "[scaling]") {
  GroupOrders orders = Call({}, 15, CountOutcome::kAccepted, kStart);
  orders = WithLoss(orders, kStart + seconds(10));
  CHECK(orders.Intended(0) == 0);
  CHECK_FALSE(Next(orders, 0, kStart + seconds(20)));
}

TEST_CASE("rows of orders keep all fields", "[scaling]") {
  OrderRecord record;
  record.group = {"ser/vice", "z%a", true};
  record.count = 7;
  record.accepted = 5;
  record.initial = 3;
  record.answered = true;
  record.fencing = 99;
  record.holder = "n1";
  record.ordered_at = 123456;
  record.uncertain_until = 130000;
  const auto read = DecodeOrder(EncodeOrder(record));
  REQUIRE(read);
  CHECK(*read == record);
  record.accepted.reset();
  CHECK(*DecodeOrder(EncodeOrder(record)) == record);
  CHECK(OrderRow(record.group).key != OrderRow({"ser", "vice/z%a", true}).key);
  CHECK(OrderRow({"s", "a", false}).key == "s/a/regular");
  CHECK_FALSE(DecodeOrder("{}"));
  CHECK_FALSE(DecodeOrder(R"({"service":"s","zone":"a","count":-1})"));
}

// Guards against a successor that takes an open order of the former holder for done.
TEST_CASE("a successor repeats an order that the former holder had no answer to", "[scaling]") {
  OrderRecord record;
  record.group = {"s", "a", false};
  record.count = 9;
  record.accepted = 4;
  record.ordered_at = 100000;
  GroupOrders orders = OrdersFromRecord(record, 103000, kStart);
  CHECK(orders.ordered_at == kStart - seconds(3));
  CHECK(orders.Intended(4) == 9);
  CHECK(Next(orders, 4, kStart) == 9);
  record.answered = true;
  record.accepted = 9;
  orders = OrdersFromRecord(record, 103000, kStart);
  CHECK_FALSE(Next(orders, 4, kStart));
  CHECK(Next(orders, 4, kStart + seconds(3)) == 9);
  // A store with a reset clock must not block orders.
  orders = OrdersFromRecord(record, 5, kStart);
  CHECK(orders.ordered_at <= kStart);
}

}  // namespace
}  // namespace anvilcroft
