#ifndef ANVILCROFT_OWNER_LEASE_H_
#define ANVILCROFT_OWNER_LEASE_H_

// The lease on the ownership of batch jobs and engines: one row of the metadata store that its
// holder renews. The fencing token is the row's version at the holder's acquisition.
//
// Load pattern: any instance may be killed, frozen, suspended or cut off from the store at any
// moment. A successor acquires the lease after LeaseSettings::takeover_after without a renewal. It
// starts serving batch jobs at once, because an item may run twice, but orders engines only once
// the former holder's lease has expired, or sooner if the former holder certainly sends no orders.
//
// The functions are pure; lease_keeper.h makes the calls to the store.

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/stored_row.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct OwnerRecord {
  std::string holder;    // id of the instance; empty: released
  int64_t term = 0;      // increases with each acquisition
  int64_t renewals = 0;  // in this term; makes each renewal change the row

  friend bool operator==(const OwnerRecord& a, const OwnerRecord& b) {
    return std::tie(a.holder, a.term, a.renewals) == std::tie(b.holder, b.term, b.renewals);
  }
  friend bool operator!=(const OwnerRecord& a, const OwnerRecord& b) { return !(a == b); }
};

std::string EncodeOwner(const OwnerRecord& record);
Result<OwnerRecord> DecodeOwner(const std::string& value);

// The lease's row as an instance last observed it.
struct LeaseView {
  // False: not read yet, or not since a read or an acquisition failed or the lease was lost.
  bool read = false;
  OwnerRecord record;
  int64_t version = 0;                     // of the row; 0: no such row
  BootTime changed_at = BootTime::zero();  // when this version was first observed
};

// Returns `view` updated with the row as read or written at `now`.
LeaseView ObserveRow(const LeaseView& view, const OwnerRecord& record, int64_t version,
                     BootTime now);

// Whether `self` may acquire the lease at `now`: the lease is free, has not been renewed for
// `takeover_after`, or is held by an earlier process of the same instance. The last is acquired at
// once, because the holder is the machine and not the process.
bool MayAcquire(const LeaseView& view, const std::string& self, BootTime now,
                Duration takeover_after);

// When a holder that acquires the lease at `now` may order engines. `former_holder` is that of the
// row before, last changed at `former_changed_at`. `settle_time`: see LeaseKeeper::Acquire.
BootTime OrdersFrom(const std::string& former_holder, BootTime former_changed_at,
                    const std::string& self, BootTime now, Duration lease_duration,
                    std::optional<Duration> settle_time);

// A lease that this instance holds.
struct HeldLease {
  int64_t fencing = 0;
  BootTime valid_until = BootTime::zero();  // end of its use by this instance
  BootTime orders_from = BootTime::zero();  // until then the former holder may order engines
  bool offered = false;                     // to another instance, which may have acquired it

  bool ValidAt(BootTime now) const {
    return this->fencing != 0 && !this->offered && now < this->valid_until;
  }
  bool MayOrderAt(BootTime now) const { return this->ValidAt(now) && now >= this->orders_from; }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_OWNER_LEASE_H_
