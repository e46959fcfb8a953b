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
  std::list<detail::EventWaiter*> waiters;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_EVENT_H_
