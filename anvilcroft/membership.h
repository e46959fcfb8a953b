#ifndef ANVILCROFT_MEMBERSHIP_H_
#define ANVILCROFT_MEMBERSHIP_H_

// The membership of this instance: joins, renews the lease, leaves, and keeps the newest roster.
//
// The lease is measured on the steady clock from just before its renewal was sent. The holder stops
// relying on it a margin before other members consider it expired. A member whose lease row was
// removed joins again with a new epoch. A member whose lease row was written by another process
// with the same id stops.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "anvilcroft/event.h"
#include "anvilcroft/head.h"
#include "anvilcroft/lease_watch.h"
#include "anvilcroft/roster.h"
#include "anvilcroft/roster_table.h"
#include "anvilcroft/settings.h"
#include "anvilcroft/table_client.h"

namespace anvilcroft {

class Membership {
 public:
  // Upper bound of the safety margin, which is the time before the expiry of its lease at which the
  // holder stops relying on it. The margin is a quarter of the lease if that is shorter.
  static constexpr Duration kMaxLeaseMargin = seconds(3);
  // A failed renewal is retried after a random delay of up to this time, so that the members do not
  // all write at once when the table service recovers.
  static constexpr Duration kRetrySpread = seconds(5);

  struct Hooks {
    std::function<void()> on_roster;          // CurrentRoster() has changed
    std::function<void()> on_roster_written;  // this instance may have written a roster row
    std::function<void()> on_joined;
    std::function<void()> on_removed;   // removed by another member; joining again
    std::function<void()> on_replaced;  // another process has joined under this id
  };

  Membership(Runtime& runtime, TableClient& table, Settings settings, uint64_t seed, Hooks hooks);

  // Joins in the background, then renews the lease until Leave or Halt. The addresses ("ip:port")
  // are published in the roster.
  void Start(std::string api_address, std::string peer_address);

  // Records that `head` was read at `now`. Reads the roster again if its version has increased.
  void OnHeadRead(const Head& head, TimePoint now);

  std::shared_ptr<const Roster> CurrentRoster() const { return this->roster; }
  // Epoch of the current membership; 0 while this instance is not a member.
  RowVersion Epoch() const { return this->epoch; }
  bool HoldsLease(TimePoint now) const { return this->LeaseRemaining(now) > Duration::zero(); }
  // Time for which the lease may still be relied on, with the safety margin subtracted. Zero or
  // less if it may not.
  Duration LeaseRemaining(TimePoint now) const;

  // Marks this instance as leaving in the roster. It does not join again afterwards. Fails with
  // kStoreUnavailable at `deadline`.
  Result<void> MarkLeaving(Task& task, TimePoint deadline);

  // Removes this instance from the roster. Fails with kStoreUnavailable at `deadline`; another
  // member then removes it when its lease has expired.
  Result<void> Leave(Task& task, TimePoint deadline);

  // Stops all activity immediately, without writing to the table service.
  void Halt();

 private:
  enum class Renewal { kDone, kRetryNow, kRetryLater, kRemoved, kReplaced };

  void JoinAndRenew(Task& task);
  void RefreshRoster(Task& task);
  Result<std::vector<Member>> ReadRoster(Task& task, uint64_t version, const std::string& zone);
  bool Join(Task& task);
  Result<bool> JoinAttempt(Task& task, TimePoint sent_at);
  Renewal Renew(Task& task);
  // Reads the lease row to find out the outcome of renewals that conflicted or got no answer.
  Renewal ResolveRenewal(Task& task);
  // Sets `epoch` and `lease_version` from the row of this process's lease.
  void AdoptLease(const Row& lease);
  // Whether this process wrote `lease`.
  bool OwnsLease(const Row& lease) const;
  // Waits a random time between `shortest` and `longest`, or until renew_now or halted is set.
  void Pause(Task& task, Duration shortest, Duration longest);
  void NotifyRosterWritten();

  Runtime& runtime;
  TableClient& table;
  Settings settings;
  std::mt19937_64 random;
  Hooks hooks;
  RosterTable rosters;
  LeaseWatch watch;
  std::string nonce;  // distinguishes lease rows of this process from others with the same id
  std::string api_address;
  std::string peer_address;
  std::shared_ptr<const Roster> roster = std::make_shared<const Roster>();
  uint64_t wanted_version = 0;  // newest roster version announced by the head row
  std::string wanted_zone;      // the zone whose row was written with wanted_version
  RowVersion epoch = 0;
  RowVersion lease_version = 0;
  std::optional<TimePoint> lease_start;
  // When the earliest renewal with an unknown outcome was sent.
  std::optional<TimePoint> unresolved_since;
  std::shared_ptr<Event> renew_event = std::make_shared<Event>();
  std::shared_ptr<Event> roster_event = std::make_shared<Event>();
  bool renew_now = false;
  bool leaving = false;
  bool halted = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_MEMBERSHIP_H_
