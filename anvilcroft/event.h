#ifndef ANVILCROFT_EVENT_H_
#define ANVILCROFT_EVENT_H_

// A condition that tasks of one Runtime wait for.
//
//   while (queue.empty()) {
//     if (!event.WaitUntil(task, deadline)) return Timeout();
//   }
//
// Like a condition variable, a waiter checks its predicate again after it wakes.

#include <list>
#include <memory>

#include "anvilcroft/runtime.h"

namespace anvilcroft {

namespace detail {
class EventWaiter;
}  // namespace detail

class Event {
 public:
  Event() = default;
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  // Waits for NotifyAll(). Returns false if `deadline` passed first.
  bool WaitUntil(Task& task, TimePoint deadline);

  // Waits for NotifyAll() without a limit.
  void Wait(Task& task);

  // Wakes every task that waits now.
  void NotifyAll();

 private:
  // Shared with the waiters, so that a task may be unwound after its Event is gone.
  std::shared_ptr<std::list<detail::EventWaiter*>> waiters =
      std::make_shared<std::list<detail::EventWaiter*>>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_EVENT_H_
