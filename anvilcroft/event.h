#ifndef ANVILCROFT_EVENT_H_
#define ANVILCROFT_EVENT_H_

// A condition that tasks of one Runtime wait for.
//
//   while (queue.empty()) {
//     if (!event.WaitUntil(task, deadline)) return Timeout();
//   }
//
// As with a condition variable, a waiter has to check its predicate again after the wait.

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

  // Waits for NotifyAll() without a time limit.
  void Wait(Task& task);

  // Resumes every task that is waiting now.
  void NotifyAll();

 private:
  // Shared with the waiters, so that a waiting task may be unwound after the Event is destroyed.
  std::shared_ptr<std::list<detail::EventWaiter*>> waiters =
      std::make_shared<std::list<detail::EventWaiter*>>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_EVENT_H_
