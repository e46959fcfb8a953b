#ifndef ANVILCROFT_ENGINE_OWNER_H_
#define ANVILCROFT_ENGINE_OWNER_H_

// Determines which model engines this instance gives orders to, and acquires a fencing token for
// each of them.
//
//   EngineOwner owner(runtime, view, store, targets, [&](const std::string& id) { ... });
//   owner.Start();
//   std::optional<EngineOwner::OwnedEngine> owned = owner.Find(target_id);
//
// The owner of an engine is the serving member with the highest rendezvous weight for the target's
// id. A new owner writes {instance, epoch} to the row <target id> of the table `owners`, only while
// it holds its lease; the row's version is the fencing token of its orders. If the row already has
// this value, its version is used without a write.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/event.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/store_access.h"
#include "anvilcroft/target.h"

namespace anvilcroft {

class EngineOwner {
 public:
  // Time between updates from the list of targets and the roster.
  static constexpr Duration kUpdateInterval = seconds(2);
  // Delay before a new token is acquired after an engine refused one. Without it, two members with
  // different rosters would take over the engine from each other continuously.
  static constexpr Duration kReacquireDelay = seconds(5);

  struct OwnedEngine {
    Target target;
    RowVersion token = 0;  // fencing token
    // Position of the engine in the order of id hashes within its service, from 0.
    std::size_t rank = 0;
    // Number of engines of the service.
    std::size_t engines = 1;
  };

  // `acquired` is called with each target whose token has been acquired.
  EngineOwner(Runtime& runtime, ClusterView view, StoreAccess store,
              std::function<std::vector<Target>()> targets,
              std::function<void(const std::string& target_id)> acquired);

  // Starts the task that updates the owned engines every kUpdateInterval and after CheckNow().
  void Start();

  // Updates the owned engines now instead of after kUpdateInterval.
  void CheckNow();

  // The engine `target_id`; nullopt unless this instance owns it and has a token for it.
  std::optional<OwnedEngine> Find(const std::string& target_id) const;

  // Drops `token`, which the engine refused as old: another instance has written the row since. A
  // new one is acquired after kReacquireDelay if the engine is still assigned to this instance.
  void OnTokenRefused(const std::string& target_id, RowVersion token, TimePoint now);

  // Number of engines that this instance owns with a token.
  std::size_t Count() const { return this->owned.size(); }

 private:
  // Drops engines that are no longer assigned and starts to acquire tokens for new ones.
  void Update();
  // The engines that the roster assigns to this instance, without tokens. Recomputed only after a
  // change: at full size it computes weights for 2,100 engines and 380 members.
  const std::vector<OwnedEngine>& AssignedEngines();
  void StartAcquire(OwnedEngine assigned);
  Result<RowVersion> AcquireToken(Task& task, const std::string& target_id);
  bool StillAssigned(const std::string& target_id) const;

  Runtime& runtime;
  ClusterView view;
  StoreAccess store;
  std::function<std::vector<Target>()> targets;
  std::function<void(const std::string&)> acquired;
  std::vector<OwnedEngine> assigned;
  std::shared_ptr<const Roster> assigned_roster;
  std::vector<Target> assigned_targets;
  std::map<std::string, OwnedEngine> owned;
  std::set<std::string> acquiring;
  std::map<std::string, TimePoint> not_before;
  std::shared_ptr<Event> update_event = std::make_shared<Event>();
  bool update_due = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_OWNER_H_
