#ifndef ANVILCROFT_LEASE_WATCH_H_
#define ANVILCROFT_LEASE_WATCH_H_

// Watches the leases of a few other members and removes those whose lease has lapsed.
//
// The two members after X in the rendezvous order of X watch X. When X and both of its watchers
// fail together and watch each other, nobody would remove them; so each instance also watches one
// member picked at random, for two leases at a time.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "anvilcroft/event.h"
#include "anvilcroft/lease_observer.h"
#include "anvilcroft/roster.h"
#include "anvilcroft/roster_table.h"
#include "anvilcroft/settings.h"

namespace anvilcroft {

// The ids of the members that `self` watches by rendezvous.
std::set<std::string> WatchedBy(const Roster& roster, const std::string& self);

class LeaseWatch {
 public:
  struct Hooks {
    std::function<std::shared_ptr<const Roster>()> roster;
    // Whether this instance is a member and may remove others.
    std::function<bool(TimePoint now)> may_remove;
    // A member was removed from the roster rows.
    std::function<void()> removed;
  };

  LeaseWatch(Runtime& runtime, TableClient& table, RosterTable& rosters, Settings settings,
             uint64_t seed, Hooks hooks);

  void Start();
  LeaseObserver& Observer() { return this->observer; }
  void Halt();

 private:
  void Run(Task& task);
  std::set<std::string> ChooseWatched(const Roster& roster, TimePoint now);
  void CheckLease(Task& task, const std::string& id);
  void RemoveMember(Task& task, const Member& member, RowVersion lease_version);

  Runtime& runtime;
  TableClient& table;
  RosterTable& rosters;
  Settings settings;
  std::mt19937_64 random;
  Hooks hooks;
  LeaseObserver observer;
  std::string random_pick;
  TimePoint repick_at;
  std::shared_ptr<Event> halt_event = std::make_shared<Event>();
  bool halted = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LEASE_WATCH_H_
