#ifndef ANVILCROFT_LIFECYCLE_H_
#define ANVILCROFT_LIFECYCLE_H_

// The life cycle of an instance:
//
//   starting -> joining <-> serving -> leaving -> draining -> stopped
//
// Only events change the state. An event that is not allowed in the current state is rejected.

#include <functional>
#include <memory>
#include <vector>

#include "anvilcroft/error.h"

namespace anvilcroft {

class Lifecycle {
 public:
  enum class State {
    kStarting,  // nothing runs yet
    kJoining,   // not a member yet, or removed by another member
    kServing,   // a member
    kLeaving,   // marked as leaving; still accepts work until callers have newer addresses
    kDraining,  // the listener is closed; waits for running work to finish
    kStopped,
  };

  enum class Event {
    kStart,          // starting -> joining
    kJoined,         // joining -> serving
    kRemoved,        // serving -> joining: another member removed this instance
    kLeave,          // starting, joining or serving -> leaving
    kCloseListener,  // leaving -> draining
    kStop,           // any state but stopped -> stopped
  };

  using ChangeHook = std::function<void(State from, State to)>;

  Lifecycle();
  ~Lifecycle();
  Lifecycle(const Lifecycle&) = delete;
  Lifecycle& operator=(const Lifecycle&) = delete;

  // Applies `event`. Fails with kConflict and changes nothing if `event` is not allowed in the
  // current state.
  Result<void> Handle(Event event);

  State Current() const;

  // Calls `hook` after each change, in the order of registration.
  void OnChange(ChangeHook hook);

 private:
  class Machine;

  std::unique_ptr<Machine> machine;
  std::vector<ChangeHook> hooks;
};

// Returns the lower-case name of `state`, for example "serving".
const char* LifecycleStateName(Lifecycle::State state);

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIFECYCLE_H_
