// Tests each pair of state and event in the life cycle of an instance.

#include "anvilcroft/lifecycle.h"

#include <catch2/catch.hpp>
#include <map>

namespace anvilcroft {
namespace {

using State = Lifecycle::State;
using Event = Lifecycle::Event;

// Guards against a missing transition, an event that is accepted in the wrong state, and a hook
// that does not run.
TEST_CASE("each state accepts exactly its events", "[lifecycle]") {
  const std::map<State, std::vector<Event>> events_to_reach = {
      {State::kStarting, {}},
      {State::kJoining, {Event::kStart}},
      {State::kServing, {Event::kStart, Event::kJoined}},
      {State::kLeaving, {Event::kStart, Event::kJoined, Event::kLeave}},
      {State::kDraining, {Event::kStart, Event::kJoined, Event::kLeave, Event::kCloseListener}},
      {State::kStopped, {Event::kStop}}};
  const std::map<std::pair<State, Event>, State> expected = {
      {{State::kStarting, Event::kStart}, State::kJoining},
      {{State::kStarting, Event::kLeave}, State::kLeaving},
      {{State::kStarting, Event::kStop}, State::kStopped},
      {{State::kJoining, Event::kJoined}, State::kServing},
      {{State::kJoining, Event::kLeave}, State::kLeaving},
      {{State::kJoining, Event::kStop}, State::kStopped},
      {{State::kServing, Event::kRemoved}, State::kJoining},
      {{State::kServing, Event::kLeave}, State::kLeaving},
      {{State::kServing, Event::kStop}, State::kStopped},
      {{State::kLeaving, Event::kCloseListener}, State::kDraining},
      {{State::kLeaving, Event::kStop}, State::kStopped},
      {{State::kDraining, Event::kStop}, State::kStopped}};
  for (const auto& [state, events] : events_to_reach) {
    for (const Event event : {Event::kStart, Event::kJoined, Event::kRemoved, Event::kLeave,
                              Event::kCloseListener, Event::kStop}) {
      Lifecycle lifecycle;
      for (const Event step : events) REQUIRE(lifecycle.Handle(step));
      REQUIRE(lifecycle.Current() == state);
      int calls = 0;
      lifecycle.OnChange([&, from = state](State old_state, State) {
        CHECK(old_state == from);
        ++calls;
      });
      const auto found = expected.find({state, event});
      INFO(LifecycleStateName(state) << " event " << static_cast<int>(event));
      CHECK(lifecycle.Handle(event).has_value() == (found != expected.end()));
      CHECK(lifecycle.Current() == (found == expected.end() ? state : found->second));
      CHECK(calls == (found == expected.end() ? 0 : 1));
    }
  }
}

}  // namespace
}  // namespace anvilcroft
