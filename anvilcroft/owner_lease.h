#ifndef ANVILCROFT_OWNER_LEASE_H_
#define ANVILCROFT_OWNER_LEASE_H_

// The lease on the ownership of batch jobs and engines: one row of the metadata store that its
// holder renews. The fencing token is the row's version when the holder took it.
//
// Load pattern: any instance may be killed, frozen, suspended or cut off from the store at any
// moment. A successor takes the row after kTakeoverAfter without a renewal and starts serving
// batch jobs at once, because an item may run twice; it orders engines only once the former
// holder's lease has run out.
//
// The functions are pure; lease_keeper.h does the calls.

#include <cstdint>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/stored_row.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct OwnerRecord {
  std::string holder;  // instance; empty: released
  int64_t term = 0;    // counts holders, so that each renewal changes the row
  int64_t renewals = 0;

  friend bool operator==(const OwnerRecord& a, const OwnerRecord& b) {
    return std::tie(a.holder, a.term, a.renewals) == std::tie(b.holder, b.term, b.renewals);
  }
  friend bool operator!=(const OwnerRecord& a, const OwnerRecord& b) { return !(a == b); }
};

std::string EncodeOwner(const OwnerRecord& record);
Result<OwnerRecord> DecodeOwner(const std::string& value);

// What an instance has seen of the row.
struct LeaseView {
  bool read = false;  // the row, or its absence, has been read
  OwnerRecord record;
  int64_t version = 0;                     // of the row; 0: it does not exist
  BootTime changed_at = BootTime::zero();  // when this version was first seen
};

// `view` after a read of the row at `now`.
LeaseView Observe(const LeaseView& view, const OwnerRecord& record, int64_t version, BootTime now);

// Whether `self` takes the row now. Its own lease of an earlier start is taken at once: the
// holder is the machine, not the process.
bool MayTake(const LeaseView& view, const std::string& self, BootTime now, Duration takeover_after);

// A lease that this instance holds.
struct HeldLease {
  int64_t fencing = 0;
  BootTime valid_until = BootTime::zero();  // end of what may be done under it
  BootTime orders_from = BootTime::zero();  // the former holder may give orders until then

  bool ValidAt(BootTime now) const { return this->fencing != 0 && now < this->valid_until; }
  bool MayOrderAt(BootTime now) const { return this->ValidAt(now) && now >= this->orders_from; }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_OWNER_LEASE_H_
