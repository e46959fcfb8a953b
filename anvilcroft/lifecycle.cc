#include "anvilcroft/lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace anvilcroft {
namespace {

namespace front = boost::msm::front;

struct Start {};
struct Joined {};
struct Removed {};
struct Leave {};
struct CloseListener {};
struct Stop {};

struct Starting : front::state<> {};
struct Joining : front::state<> {};
struct Serving : front::state<> {};
struct Leaving : front::state<> {};
struct Draining : front::state<> {};
struct Stopped : front::state<> {};

struct Definition : front::state_machine_def<Definition> {
  using initial_state = Starting;   // NOLINT(readability-identifier-naming)
  using no_exception_thrown = int;  // NOLINT(readability-identifier-naming)

  struct transition_table  // NOLINT(readability-identifier-naming)
      : boost::mpl::vector<
            //         state     event          next
            front::Row<Starting, Start, Joining>,          //
            front::Row<Starting, Leave, Leaving>,          //
            front::Row<Starting, Stop, Stopped>,           //
            front::Row<Joining, Joined, Serving>,          //
            front::Row<Joining, Leave, Leaving>,           //
            front::Row<Joining, Stop, Stopped>,            //
            front::Row<Serving, Removed, Joining>,         //
            front::Row<Serving, Leave, Leaving>,           //
            front::Row<Serving, Stop, Stopped>,            //
            front::Row<Leaving, CloseListener, Draining>,  //
            front::Row<Leaving, Stop, Stopped>,            //
            front::Row<Draining, Stop, Stopped>> {};

  // Overrides the library's default, which aborts the process. Handle reports the rejected event.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}
};

}  // namespace

class Lifecycle::Machine : public boost::msm::back::state_machine<Definition> {};

Lifecycle::Lifecycle() : machine(std::make_unique<Machine>()) { this->machine->start(); }

Lifecycle::~Lifecycle() = default;

Lifecycle::State Lifecycle::Current() const {
  // The library numbers the states in order of first appearance in the transition table. Looking up
  // each id avoids a dependence on that order.
  using Table = boost::msm::back::state_machine<Definition>::stt;
  const int id = this->machine->current_state()[0];
  if (id == boost::msm::back::get_state_id<Table, Starting>::value) return State::kStarting;
  if (id == boost::msm::back::get_state_id<Table, Joining>::value) return State::kJoining;
  if (id == boost::msm::back::get_state_id<Table, Serving>::value) return State::kServing;
  if (id == boost::msm::back::get_state_id<Table, Leaving>::value) return State::kLeaving;
  if (id == boost::msm::back::get_state_id<Table, Draining>::value) return State::kDraining;
  return State::kStopped;
}

Result<void> Lifecycle::Handle(Event event) {
  const State from = this->Current();
  switch (event) {
    case Event::kStart:
      this->machine->process_event(Start());
      break;
    case Event::kJoined:
      this->machine->process_event(Joined());
      break;
    case Event::kRemoved:
      this->machine->process_event(Removed());
      break;
    case Event::kLeave:
      this->machine->process_event(Leave());
      break;
    case Event::kCloseListener:
      this->machine->process_event(CloseListener());
      break;
    case Event::kStop:
      this->machine->process_event(Stop());
      break;
  }
  const State to = this->Current();
  if (to == from) {
    return Fail(ErrorCode::kConflict, "the event is not allowed in the current state",
                LifecycleStateName(from));
  }
  const std::vector<ChangeHook> to_call = this->hooks;
  for (const ChangeHook& hook : to_call) hook(from, to);
  return {};
}

void Lifecycle::OnChange(ChangeHook hook) { this->hooks.push_back(std::move(hook)); }

const char* LifecycleStateName(Lifecycle::State state) {
  switch (state) {
    case Lifecycle::State::kStarting:
      return "starting";
    case Lifecycle::State::kJoining:
      return "joining";
    case Lifecycle::State::kServing:
      return "serving";
    case Lifecycle::State::kLeaving:
      return "leaving";
    case Lifecycle::State::kDraining:
      return "draining";
    case Lifecycle::State::kStopped:
      return "stopped";
  }
  return "stopped";
}

}  // namespace anvilcroft
