#ifndef ANVILCROFT_SCALING_ORDER_RECORD_H_
#define ANVILCROFT_SCALING_ORDER_RECORD_H_

// Rows of the table `engine-orders`: the last order for the engines of each service, zone and kind.
// Written before the call and after its answer, so that the next holder of the owner lease knows
// which orders may still be carried out.

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/metadata_store.h"
#include "anvilcroft/scaling/order_schedule.h"
#include "anvilcroft/stored_row.h"

namespace anvilcroft {

struct EngineGroupId {
  std::string service;
  std::string zone;
  bool reclaimable = false;

  friend bool operator==(const EngineGroupId& a, const EngineGroupId& b) {
    return a.Tie() == b.Tie();
  }
  friend bool operator!=(const EngineGroupId& a, const EngineGroupId& b) { return !(a == b); }
  friend bool operator<(const EngineGroupId& a, const EngineGroupId& b) {
    return a.Tie() < b.Tie();
  }

 private:
  std::tuple<const std::string&, const std::string&, bool> Tie() const {
    return {this->service, this->zone, this->reclaimable};
  }
};

struct OrderRecord {
  EngineGroupId group;
  int count = 0;                // the number that was ordered last
  std::optional<int> accepted;  // as GroupOrders::accepted
  int initial = 0;
  bool answered = false;
  int64_t fencing = 0;
  std::string holder;
  StoreMillis ordered_at = 0;
  StoreMillis uncertain_until = 0;

  friend bool operator==(const OrderRecord& a, const OrderRecord& b) {
    return std::tie(a.group, a.count, a.accepted, a.initial, a.answered, a.fencing, a.holder,
                    a.ordered_at, a.uncertain_until) ==
           std::tie(b.group, b.count, b.accepted, b.initial, b.answered, b.fencing, b.holder,
                    b.ordered_at, b.uncertain_until);
  }
  friend bool operator!=(const OrderRecord& a, const OrderRecord& b) { return !(a == b); }
};

constexpr char kOrderTable[] = "engine-orders";

// The row of a group: SERVICE/ZONE/KIND.
RowId OrderRow(const EngineGroupId& group);

std::string EncodeOrder(const OrderRecord& record);
Result<OrderRecord> DecodeOrder(const std::string& value);

// The state of a group at `now`, when the store's clock shows `store_now`, according to the row
// that an earlier holder, or this instance in an earlier term, has written.
GroupOrders OrdersFromRecord(const OrderRecord& record, StoreMillis store_now, TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_SCALING_ORDER_RECORD_H_
