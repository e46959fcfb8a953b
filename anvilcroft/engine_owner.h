#ifndef ANVILCROFT_ENGINE_OWNER_H_
#define ANVILCROFT_ENGINE_OWNER_H_

// Which model engines this instance gives orders to, and with which fencing token.
//
//   EngineOwner owner(runtime, view, store, targets, [&](const std::string& id) { ... });
//   owner.Start();
//   std::optional<EngineOwner::Owned> owned = owner.Find(target_id);
//
// The owner of an engine is the serving member with the highest rendezvous weight for the target's
// id. A new owner writes the row `owners` / <target id> {instance, epoch}, only while it holds its
// lease; the row's version is the fencing token of its orders. An owner that finds the row as it
// would write it takes the token from there.

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
  // Time between two looks at the list of targets and the roster.
  static constexpr Duration kInterval = seconds(2);
  // Time before a token that an engine refused is acquired anew. Two members with different
  // rosters would otherwise take the engine from each other without pause.
  static constexpr Duration kReacquireDelay = seconds(5);

  struct Owned {
    Target target;
    RowVersion token = 0;
    // Place of the engine among those of its service, by hash of the id, and their number.
    std::size_t rank = 0;
    std::size_t engines = 1;
  };

  // `acquired` is called for each target whose token has become known.
  EngineOwner(Runtime& runtime, ClusterView view, StoreAccess store,
              std::function<std::vector<Target>()> targets,
              std::function<void(const std::string& target_id)> acquired);

  // Starts the task that follows the roster and the targets.
  void Start();

  // Looks at the roster and the targets again soon.
  void Wake();

  // The target if this instance owns it and has its token.
  std::optional<Owned> Find(const std::string& target_id) const;

  // Records that the engine refused `token` as old: another instance has written the row since.
  void RefusedToken(const std::string& target_id, RowVersion token, TimePoint now);

  std::size_t Count() const { return this->owned.size(); }

 private:
  void Look();
  // The targets that the roster gives to this instance, without their tokens. Computed again only
  // after a change: at full size it weighs 2,100 engines against 380 members.
  const std::vector<Owned>& Wanted();
  void Acquire(Owned wanted);
  Result<RowVersion> AcquireToken(Task& task, const std::string& target_id);
  bool StillWanted(const std::string& target_id) const;

  Runtime& runtime;
  ClusterView view;
  StoreAccess store;
  std::function<std::vector<Target>()> targets;
  std::function<void(const std::string&)> acquired;
  std::vector<Owned> wanted;
  std::shared_ptr<const Roster> wanted_roster;
  std::vector<Target> wanted_targets;
  std::map<std::string, Owned> owned;
  std::set<std::string> acquiring;
  std::map<std::string, TimePoint> not_before;
  std::shared_ptr<Event> wake = std::make_shared<Event>();
  bool look_due = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_OWNER_H_
