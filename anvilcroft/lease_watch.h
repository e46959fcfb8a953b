#ifndef ANVILCROFT_LEASE_WATCH_H_
#define ANVILCROFT_LEASE_WATCH_H_

// Watches the leases of a few other members and removes the members whose lease has expired.
//
// Each member is watched by the two other members with the highest rendezvous weight for its id. If
// a member and both of its watchers fail together and watch each other, none of them would be
// removed. Each instance therefore also watches one member chosen at random, and chooses again
// after two lease durations.

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

// Returns the ids of the members that `self` watches by rendezvous hashing.
std::set<std::string> WatchedBy(const Roster& roster, const std::string& self);

class LeaseWatch {
 public:
  struct Hooks {
    std::function<std::shared_ptr<const Roster>()> roster;
    // Whether this instance holds its lease and may remove other members.
    std::function<bool(TimePoint now)> active;
    // Called after this instance removed a member from the roster.
    std::function<void()> removed;
  };

  LeaseWatch(Runtime& runtime, TableClient& table, RosterTable& rosters, Settings settings,
             uint64_t seed, Hooks hooks);

  // Checks the watched leases in the background, about twice per renewal period, until Halt.
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
