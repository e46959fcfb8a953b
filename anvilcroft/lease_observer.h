#ifndef ANVILCROFT_LEASE_OBSERVER_H_
#define ANVILCROFT_LEASE_OBSERVER_H_

// Decides whether the lease of another member has expired, from the versions of its lease row that
// this instance has read. Clocks of other machines are not used: a lease has expired when its row
// has kept the same version for a full lease duration on this instance's own clock.
//
// During an outage of the table service no member can renew. Therefore no lease expires until a
// full lease duration has passed since the first successful read after the outage.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "anvilcroft/row.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class LeaseObserver {
 public:
  explicit LeaseObserver(Duration lease) : lease(lease) {}

  // Records a successful read from the table service. A gap of more than a third of the lease
  // duration between reads counts as an outage; after a shorter gap a holder still has time to
  // renew.
  void RecordRead(TimePoint now);

  // Records that a write of this instance failed. Renewals of other members may be failing too, so
  // this counts as an outage.
  void RecordWriteFailure(TimePoint now);

  // Records that the lease row of `member` was read with `version`, 0 if it is absent. `now` must
  // be taken after the answer arrived, so that the row was written before `now`.
  void Observe(const std::string& member, RowVersion version, TimePoint now);

  // If the lease of `member` has expired, returns the version that its row has kept; otherwise
  // nullopt.
  std::optional<RowVersion> ExpiredVersion(const std::string& member, TimePoint now) const;

  // Discards the observations of all members that are not in `members`.
  void RetainOnly(const std::set<std::string>& members);

 private:
  struct Observation {
    RowVersion version;
    TimePoint first_seen;  // when `version` was first read
  };

  Duration lease;
  std::map<std::string, Observation> observations;
  std::optional<TimePoint> last_read;
  std::optional<TimePoint> reliable_since;  // end of the last outage
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LEASE_OBSERVER_H_
