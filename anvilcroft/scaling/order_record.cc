#include "anvilcroft/scaling/order_record.h"

#include <algorithm>

#include "anvilcroft/json.h"
#include "anvilcroft/row_key.h"

namespace anvilcroft {
namespace {

constexpr char kRegularKind[] = "regular";
constexpr char kReclaimableKind[] = "reclaimable";
constexpr int64_t kMaxCount = 1 << 20;
constexpr StoreMillis kMaxAgeMs = 60'000;  // nothing depends on the age of older orders

}  // namespace

RowId OrderRow(const EngineGroupId& group) {
  return {kOrderTable, "",
          RowKey({group.service, group.zone, group.reclaimable ? kReclaimableKind : kRegularKind})};
}

std::string EncodeOrder(const OrderRecord& record) {
  nlohmann::json wire = {{"service", record.group.service},
                         {"zone", record.group.zone},
                         {"reclaimable", record.group.reclaimable},
                         {"count", record.count},
                         {"initial", record.initial},
                         {"answered", record.answered},
                         {"fencing", record.fencing},
                         {"holder", record.holder},
                         {"at", record.ordered_at},
                         {"uncertain_until", record.uncertain_until}};
  if (record.accepted) wire["accepted"] = *record.accepted;
  return DumpJson(wire);
}

Result<OrderRecord> DecodeOrder(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "order");
  OrderRecord record;
  record.group.service = fields.String("service");
  record.group.zone = fields.String("zone");
  record.group.reclaimable = fields.BoolOr("reclaimable", false);
  record.count = static_cast<int>(fields.Integer("count", 0, kMaxCount));
  if (fields.Optional("accepted").is_number()) {
    record.accepted = static_cast<int>(fields.IntegerOr("accepted", 0, 0, kMaxCount));
  }
  record.initial = static_cast<int>(fields.IntegerOr("initial", 0, 0, kMaxCount));
  record.answered = fields.BoolOr("answered", false);
  record.fencing = fields.IntegerOr("fencing", 0, 0, INT64_MAX);
  record.holder = fields.StringOr("holder", "");
  record.ordered_at = fields.IntegerOr("at", 0, 0, INT64_MAX / 2);
  record.uncertain_until = fields.IntegerOr("uncertain_until", 0, 0, INT64_MAX / 2);
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  return record;
}

GroupOrders OrdersFromRecord(const OrderRecord& record, StoreMillis store_now, TimePoint now) {
  // The store's clock may have been reset since, so its differences are bounded.
  const auto time = [&](StoreMillis at) {
    return now + milliseconds(
                     std::clamp<StoreMillis>(at - store_now, -kMaxAgeMs, ToMillis(kLateOrderTime)));
  };
  GroupOrders orders;
  orders.initial = record.initial;
  orders.accepted = record.accepted;
  orders.ordered_at = time(std::min(record.ordered_at, store_now));
  orders.raised_at = orders.ordered_at;
  if (record.uncertain_until > store_now) orders.uncertain_until = time(record.uncertain_until);
  if (!record.answered) {
    orders.attempted = record.count;
    orders.uncertain_until = now + kLateOrderTime;
  }
  return orders;
}

}  // namespace anvilcroft
