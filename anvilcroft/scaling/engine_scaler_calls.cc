// The part of EngineScaler that reads and writes the rows of orders and calls the platform's API.

#include <algorithm>
#include <utility>

#include "anvilcroft/log.h"
#include "anvilcroft/scaling/engine_scaler.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "scaling";
constexpr Duration kStoreTimeout = milliseconds(650);
// Share of the accepted rate of calls that orders use; the rest is for reports of use.
constexpr double kCallShare = 0.5;

CountOutcome FromDuty(platform::DutyOutcome outcome) {
  switch (outcome) {
    case platform::DutyOutcome::kAccepted:
      return CountOutcome::kAccepted;
    case platform::DutyOutcome::kConflict:
      return CountOutcome::kUnavailable;
    case platform::DutyOutcome::kLimited:
      return CountOutcome::kLimited;
    case platform::DutyOutcome::kFailed:
      return CountOutcome::kFailed;
    case platform::DutyOutcome::kUnknown:
      return CountOutcome::kUnknown;
  }
  return CountOutcome::kUnknown;
}

std::string ToString(std::optional<int> count) { return count ? std::to_string(*count) : "none"; }

}  // namespace

bool EngineScaler::MayOrder(int64_t fencing) const {
  const HeldLease& lease = this->context.lease.Held();
  const BootTime now = BootNow();
  return fencing != 0 && lease.fencing == fencing && fencing != this->refused_fencing &&
         lease.MayOrderAt(now) && now >= this->orders_from;
}

bool EngineScaler::PrepareTerm(Task& task) {
  const int64_t held = this->context.lease.Held().fencing;
  if (held != this->fencing) {
    this->fencing = held;
    this->rows_known = false;
    this->unconfirmed = false;
    this->orders_from = BootTime::zero();
    this->observed_since = SteadyNow();
    this->limited = 0;
    this->limited_until = TimePoint();
    for (auto& [name, service] : this->services) service.memory = ScalingMemory();
    for (auto& [id, group] : this->groups) {
      // Calls of the former term are ignored when they end.
      GroupOrders orders;
      orders.lost_at = group.orders.lost_at;
      orders.initial = group.orders.initial;
      group.orders = orders;
      group.row_version = 0;
    }
  }
  if (held == 0 || !this->context.lease.Held().ValidAt(BootNow())) return false;
  return this->rows_known || this->LoadRows(task);
}

bool EngineScaler::LoadRows(Task& task) {
  const int64_t token = this->fencing;
  RowRange range;
  range.table = kOrderTable;
  std::vector<StoredRow> rows;
  while (true) {
    const auto page = this->context.metadata.Read(task, range, SteadyNow() + kStoreTimeout);
    if (!page || token != this->context.lease.Held().fencing) return false;
    rows.insert(rows.end(), page->rows.begin(), page->rows.end());
    if (!page->more || page->rows.empty()) break;
    range.from = page->rows.back().id.key + '\0';
  }
  // An order must not seem older, nor its outcome known sooner, than it is.
  const StoreMillis store_now = this->context.metadata.StoreTime(BootNow()).earliest;
  const TimePoint now = SteadyNow();
  bool ordered_before = false;  // this instance has ordered in an earlier term
  int64_t last_fencing = 0;
  std::string last_holder;
  for (const StoredRow& row : rows) {
    const auto record = DecodeOrder(row.value);
    if (!record || OrderRow(record->group).key != row.id.key) continue;
    if (record->holder == this->context.instance && record->fencing != token) ordered_before = true;
    if (record->fencing > last_fencing) {
      last_fencing = record->fencing;
      last_holder = record->holder;
    }
    Group& group = this->GetGroup(record->group);
    if (group.orders.in_flight) continue;  // its own call writes the row
    const GroupOrders known = group.orders;
    group.row_version = row.version;
    group.orders = OrdersFromRecord(*record, store_now, now);
    group.orders.failures = known.failures;
    group.orders.not_before = known.not_before;
    group.orders.unavailable_until = known.unavailable_until;
    group.orders.lost_at = known.lost_at;
    if (known.lost_at > group.orders.ordered_at) group.orders.accepted.reset();
  }
  // The platform takes two changes of the holder within the duration of a lease for orders of a
  // former holder, unless it checks the tokens.
  if (!this->settings.checks_fencing && ordered_before && last_holder != this->context.instance &&
      this->orders_from == BootTime::zero()) {
    this->orders_from = BootNow() + this->lease_duration;
  }
  this->rows_known = true;
  return true;
}

bool EngineScaler::ConfirmLease(Task& task, int64_t fencing) {
  const OwnerRecord known = this->context.lease.LastRecord();
  RowRange range;
  range.table = this->context.lease.Row().table;
  range.from = this->context.lease.Row().key;
  range.max_rows = 1;
  const auto read = this->context.metadata.Read(task, range, SteadyNow() + kStoreTimeout);
  if (!read || fencing != this->fencing) return false;
  const bool found = !read->rows.empty() && read->rows.front().id.key == range.from;
  const auto record = DecodeOwner(found ? read->rows.front().value : "");
  if (record && record->holder == known.holder && record->term == known.term &&
      this->context.lease.Held().fencing == fencing) {
    this->unconfirmed = false;
    return true;
  }
  LogWarning(kPart, "another instance holds the lease, so this one orders no more engines",
             {{"fencing", std::to_string(fencing)},
              {"holder", record ? record->holder : std::string("unknown")}});
  this->refused_fencing = fencing;
  return false;
}

void EngineScaler::StartOrder(const EngineGroupId& id, int count, const char* reason,
                              TimePoint now) {
  Group& group = this->groups[id];
  const std::optional<int> before = group.orders.accepted;
  group.orders = WithCall(group.orders, count, now);
  const TimePoint start = std::max(now, this->next_call_at);
  this->next_call_at = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                                   1 / (kCallShare * this->settings.calls_per_s)));
  this->context.runtime.Spawn(
      [this, id, count, reason, before, start, token = this->fencing](Task& task) {
        SleepUntil(task, start);
        if (token == this->fencing) this->SendOrder(task, {id, count, reason, before, token});
      });
}

void EngineScaler::SendOrder(Task& task, const Order& order) {
  const EngineGroupId& id = order.group;
  Group& group = this->groups[id];
  if (!this->WriteRow(task, order, false)) {
    if (order.fencing != this->fencing) return;
    group.orders = WithOutcome(group.orders, order.count, CountOutcome::kFailed, SteadyNow());
    return;
  }
  const TimePoint sent = SteadyNow();
  CountOutcome outcome = this->Call(task, order);
  if (outcome == CountOutcome::kUnavailable && this->settings.checks_fencing) {
    this->unconfirmed = order.fencing == this->fencing;
    if (!this->ConfirmLease(task, order.fencing)) outcome = CountOutcome::kFailed;
  }
  const TimePoint now = SteadyNow();
  LogInfo(kPart, "ordered a number of engines",
          {{"service", id.service},
           {"zone", id.zone},
           {"kind", id.reclaimable ? "reclaimable" : "regular"},
           {"count", std::to_string(order.count)},
           {"before", ToString(order.before)},
           {"present", std::to_string(group.present)},
           {"reason", order.reason},
           {"fencing", std::to_string(order.fencing)},
           {"outcome", CountOutcomeName(outcome)},
           {"ms", std::to_string(ToMillis(now - sent))}});
  this->context.metrics.Increment("anvilcroft_engine_orders_total",
                                  {{"outcome", CountOutcomeName(outcome)}});
  if (order.fencing != this->fencing) return;
  if (outcome == CountOutcome::kLimited) {
    this->limited_until = now + OrderBackoff(++this->limited);
  } else if (outcome == CountOutcome::kAccepted) {
    this->limited = 0;
  }
  // Engines that were taken away during the call may be among those that it counted on.
  const bool lost = group.orders.lost_at >= group.orders.ordered_at;
  group.orders = WithOutcome(group.orders, order.count, outcome, now);
  if (lost) group.orders.accepted.reset();
  if (outcome == CountOutcome::kUnknown) return;
  group.orders.in_flight = true;  // a further order has to wait for the row
  this->WriteRow(task, order, true);
  if (order.fencing == this->fencing) group.orders.in_flight = false;
}

bool EngineScaler::WriteRow(Task& task, const Order& order, bool answered) {
  if (order.fencing != this->fencing || !this->MayOrder(order.fencing)) return false;
  const EngineGroupId& id = order.group;
  Group& group = this->groups[id];
  const StoreMillis store_now = this->context.metadata.StoreTime(BootNow()).latest;
  OrderRecord record;
  record.group = id;
  record.count = order.count;
  record.accepted = group.orders.accepted;
  record.initial = group.orders.initial;
  record.answered = answered && !group.orders.attempted;
  record.fencing = order.fencing;
  record.holder = this->context.instance;
  record.ordered_at = store_now;
  record.uncertain_until =
      std::max<StoreMillis>(0, store_now + ToMillis(group.orders.uncertain_until - SteadyNow()));
  const RowBatch batch = RowBatch::Builder()
                             .Expect(OrderRow(id), group.row_version)
                             .Put(OrderRow(id), EncodeOrder(record))
                             .Build();
  const auto written = this->context.metadata.Commit(task, batch, SteadyNow() + kStoreTimeout);
  if (order.fencing != this->fencing) return false;
  if (written && written->committed) {
    group.row_version = written->version;
    return true;
  }
  this->rows_known = false;
  LogInfo(kPart, "could not write the row of an order of engines",
          {{"service", id.service},
           {"zone", id.zone},
           {"error", written ? "the row has changed" : ErrorCodeName(written.error().code)}});
  return false;
}

CountOutcome EngineScaler::Call(Task& task, const Order& order) {
  platform::DutyHolder holder;
  holder.instance = this->context.instance;
  holder.fencing = order.fencing;
  platform::EngineCountOrder wire;
  wire.service = order.group.service;
  wire.zone = order.group.zone;
  wire.count = order.count;
  wire.reclaimable = order.group.reclaimable;
  return FromDuty(this->client.OrderEngines(
      task, holder, wire, [this, token = order.fencing] { return this->MayOrder(token); }));
}

}  // namespace anvilcroft
