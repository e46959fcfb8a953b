#ifndef ANVILCROFT_FRONT_DIRECTORY_H_
#define ANVILCROFT_FRONT_DIRECTORY_H_

// The directory of front instances. Each instance renews a row of its own in the metadata store and
// reads the rows of the others, to tell callers which instances to use.
//
// An instance counts as live while it renews its row. No instance can renew during an outage of the
// store, so after one the instances that were live before it stay so for a grace period.

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/front_record.h"
#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

// Returns the rows of live instances among `rows`, which were read at `store_time`: those that are
// not leaving and whose row was renewed less than `lifetime_ms` ago. Pure.
std::vector<FrontRecord> FilterLiveFronts(const std::vector<FrontRecord>& rows,
                                          StoreMillis store_time, int64_t lifetime_ms);

// Returns at most `max_count` addresses for a caller in `zone`: first those of instances in its
// zone, then the others, each spread by a hash of the zone and the instance's name. Pure.
std::vector<std::string> AddressesFor(const std::vector<FrontRecord>& fronts,
                                      const std::string& zone, std::size_t max_count);

// Time between renewals, and between reads, if there are `fronts` instances. All rows share one
// partition, which takes 200 transactions a second; half of that is left to other writers. Pure.
Duration RenewalPeriod(std::size_t fronts);

class FrontDirectory {
 public:
  // Lifetime of a row, in renewal periods, after which its instance no longer counts as live.
  static constexpr double kRowLifetimePeriods = 3.2;

  // After an outage of the store of kMinOutage or more, the instances that were live before it stay
  // so for kRenewalGrace, in which they can renew their rows.
  static constexpr Duration kMinOutage = milliseconds(1500);
  static constexpr Duration kRenewalGrace = milliseconds(2000);

  FrontDirectory(Runtime& runtime, MetadataStore& store, FrontRecord self);

  // Sets the "ip:port" addresses for callers and for other instances. Call before Start.
  void SetAddresses(std::string caller_address, std::string internal_address) {
    this->self.address = std::move(caller_address);
    this->self.internal_address = std::move(internal_address);
  }

  void Start();

  // Stops renewals and marks this instance's row as leaving. Retries until `deadline`; logs a
  // warning if no write was confirmed.
  void AnnounceLeaving(Task& task, TimePoint deadline);

  // The instances that callers may use. Empty until the rows have been read once.
  const std::vector<FrontRecord>& LiveFronts() const { return this->live; }

  // Number of live instances that precede this one in the order of takeover, in which larger
  // machines come first.
  int TakeoverRank() const;

  // Internal addresses of up to `max_count` other live instances, in the order of takeover.
  std::vector<std::string> TakeoverCandidates(std::size_t max_count) const;

  // Internal address of a live instance; empty if it is not known.
  std::string InternalAddress(const std::string& instance) const;

 private:
  void RenewRow(Task& task);
  void ReadRows(Task& task);
  // Writes this instance's row. Returns whether the store confirmed it.
  bool WriteRow(Task& task, TimePoint deadline);

  Runtime& runtime;
  MetadataStore& store;
  FrontRecord self;
  std::vector<FrontRecord> live;
  TimePoint read_at;      // last successful read
  TimePoint grace_until;  // until then instances stay live although their rows are old
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_DIRECTORY_H_
