#ifndef ANVILCROFT_MEMBERSHIP_H_
#define ANVILCROFT_MEMBERSHIP_H_

// The membership of this instance: joining, the lease, leaving, and the newest known roster.
//
// The lease is counted by the steady clock from before its renewal was sent, and ends for the
// holder a margin before it ends for the others. A member whose lease row was removed joins again
// with a new epoch; one whose row belongs to another process with the same id stops.

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
  // Most that the holder's duties end before the lease does.
  static constexpr Duration kMaxLeaseMargin = seconds(3);
  // Renewals that failed are tried again at a random time within this span, so that all members do
  // not write at once when the table service is back.
  static constexpr Duration kRetrySpread = seconds(5);

  struct Hooks {
    std::function<void()> on_roster;          // CurrentRoster() has changed
    std::function<void()> on_roster_written;  // this instance changed a row of the roster
    std::function<void()> on_joined;
    std::function<void()> on_removed;   // removed by others; joining again
    std::function<void()> on_replaced;  // another process has joined under this id
  };

  Membership(Runtime& runtime, TableClient& table, Settings settings, uint64_t seed, Hooks hooks);

  // Starts to join, and keeps the lease from then on.
  void Start(std::string api_address, std::string peer_address);

  // The head row was read.
  void NoteHead(const Head& head, TimePoint now);

  std::shared_ptr<const Roster> CurrentRoster() const { return this->roster; }
  // 0 before the first join, and while this instance is not a member.
  RowVersion Epoch() const { return this->epoch; }
  bool HoldsLease(TimePoint now) const { return this->LeaseRemaining(now) > Duration::zero(); }
  // Time until duties under the lease end; zero or less: they have ended.
  Duration LeaseRemaining(TimePoint now) const;

  // Marks this instance as leaving in the roster. It does not join again after that. Fails with
  // kStoreUnavailable at `deadline`.
  Result<void> MarkLeaving(Task& task, TimePoint deadline);

  // Removes this instance from the roster. Fails with kStoreUnavailable at `deadline`; the others
  // then remove it when its lease has lapsed.
  Result<void> Leave(Task& task, TimePoint deadline);

  // Ends all activity at once, without telling anyone.
  void Halt();

 private:
  enum class Renewal { kDone, kRetryNow, kRetryLater, kRemoved, kReplaced };

  void JoinAndRenew(Task& task);
  void RefreshRoster(Task& task);
  Result<std::vector<Member>> ReadRoster(Task& task, uint64_t version, const std::string& zone);
  bool Join(Task& task);
  Result<bool> JoinAttempt(Task& task, TimePoint sent_at);
  Renewal Renew(Task& task);
  Renewal ResolveRenewal(Task& task);
  void Adopt(const Row& lease);
  bool Owns(const Row& lease) const;
  void Pause(Task& task, Duration shortest, Duration longest);
  void NotifyRosterWritten();

  Runtime& runtime;
  TableClient& table;
  Settings settings;
  std::mt19937_64 random;
  Hooks hooks;
  RosterTable rosters;
  LeaseWatch watch;
  std::string nonce;  // tells this process's lease row from that of another with the same id
  std::string api_address;
  std::string peer_address;
  std::shared_ptr<const Roster> roster = std::make_shared<const Roster>();
  uint64_t wanted_version = 0;
  std::string wanted_zone;  // the zone that the change to wanted_version wrote
  RowVersion epoch = 0;
  RowVersion lease_version = 0;
  std::optional<TimePoint> lease_start;
  // When the first of the renewals was sent whose outcome is not known.
  std::optional<TimePoint> unresolved_since;
  std::shared_ptr<Event> renew_event = std::make_shared<Event>();
  std::shared_ptr<Event> roster_event = std::make_shared<Event>();
  bool renew_now = false;
  bool leaving = false;
  bool halted = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_MEMBERSHIP_H_
