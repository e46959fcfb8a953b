#ifndef ANVILCROFT_LEASE_OBSERVER_H_
#define ANVILCROFT_LEASE_OBSERVER_H_

// Decides whether the lease of another member has lapsed, from the versions of its lease row as
// this instance has seen them. No clock of another machine is involved: a lease has lapsed when
// its row kept one version for a whole lease on this instance's own clock.
//
// During an outage of the table service no member can renew, so nothing lapses until a whole lease
// has passed since the first successful read after it.

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

  // A read of the table service succeeded. More than a third of a lease without one counts as an
  // outage: with shorter gaps a holder still finds time to renew.
  void NoteRead(TimePoint now);

  // A write of this instance failed, so that others' renewals may be failing too.
  void NoteWriteFailure(TimePoint now);

  // The lease row of `member` was read at version `version`; 0: it is absent. `now` is the time
  // after the answer, so that the time of the write lies before it.
  void Observe(const std::string& member, RowVersion version, TimePoint now);

  // The version that the row of `member` has kept for a whole lease, or nullopt.
  std::optional<RowVersion> ExpiredVersion(const std::string& member, TimePoint now) const;

  // Forgets all members but `members`.
  void RetainOnly(const std::set<std::string>& members);

 private:
  struct Observation {
    RowVersion version;
    TimePoint first_seen;
  };

  Duration lease;
  std::map<std::string, Observation> observations;
  std::optional<TimePoint> last_read;
  std::optional<TimePoint> reliable_since;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LEASE_OBSERVER_H_
