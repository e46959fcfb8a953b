#include "anvilcroft/owner_lease.h"

#include <algorithm>

#include "anvilcroft/json.h"

namespace anvilcroft {

std::string EncodeOwner(const OwnerRecord& record) {
  return DumpJson(
      {{"holder", record.holder}, {"term", record.term}, {"renewals", record.renewals}});
}

Result<OwnerRecord> DecodeOwner(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "owner");
  OwnerRecord record;
  record.holder = fields.StringOr("holder", "");
  record.term = fields.IntegerOr("term", 0, 0, INT64_MAX);
  record.renewals = fields.IntegerOr("renewals", 0, 0, INT64_MAX);
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  return record;
}

LeaseView ObserveRow(const LeaseView& view, const OwnerRecord& record, int64_t version,
                     BootTime now) {
  LeaseView next = view;
  next.record = record;
  if (!view.read || view.version != version) next.changed_at = now;
  next.read = true;
  next.version = version;
  return next;
}

BootTime OrdersFrom(const std::string& former_holder, BootTime former_changed_at,
                    const std::string& self, BootTime now, Duration lease_duration,
                    std::optional<Duration> settle_time) {
  if (former_holder.empty() || former_holder == self) return now;
  const BootTime expiry = former_changed_at + lease_duration;
  return settle_time ? std::min(expiry, now + *settle_time) : expiry;
}

bool MayAcquire(const LeaseView& view, const std::string& self, BootTime now,
                Duration takeover_after) {
  if (!view.read) return false;
  if (view.version == 0 || view.record.holder.empty() || view.record.holder == self) return true;
  return now - view.changed_at >= takeover_after;
}

}  // namespace anvilcroft
