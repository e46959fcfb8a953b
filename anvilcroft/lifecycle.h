#ifndef ANVILCROFT_LIFECYCLE_H_
#define ANVILCROFT_LIFECYCLE_H_

// The life cycle of an instance:
//
//   starting -> joining <-> serving -> leaving -> draining -> stopped
//
// The state changes only by events; an event that the current state does not expect is refused.

#include <functional>
#include <memory>
#include <vector>

#include "anvilcroft/error.h"

namespace anvilcroft {

class Lifecycle {
 public:
  enum class State {
    kStarting,  // nothing runs yet
    kJoining,   // not a member yet, or removed by others
    kServing,   // a member
    kLeaving,   // marked as leaving; still accepts work while callers learn of it
    kDraining,  // the listener is closed; running work finishes
    kStopped,
  };

  enum class Event {
    kStart,          // starting -> joining
    kJoined,         // joining -> serving
    kRemoved,        // serving -> joining: the others removed this instance
    kLeave,          // starting, joining or serving -> leaving
    kCloseListener,  // leaving -> draining
    kStop,           // any state but stopped -> stopped
  };

  using ChangeHook = std::function<void(State from, State to)>;

  Lifecycle();
  ~Lifecycle();
  Lifecycle(const Lifecycle&) = delete;
  Lifecycle& operator=(const Lifecycle&) = delete;

  // Fails with kConflict, and changes nothing, if the current state does not expect `event`.
  Result<void> Handle(Event event);

  State Current() const;

  // Calls `hook` after each change, in the order of registration.
  void OnChange(ChangeHook hook);

 private:
  class Machine;

  std::unique_ptr<Machine> machine;
  std::vector<ChangeHook> hooks;
};

// The lower-case name, for example "serving".
const char* LifecycleStateName(Lifecycle::State state);

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIFECYCLE_H_
