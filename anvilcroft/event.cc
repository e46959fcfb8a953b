#include "anvilcroft/event.h"

#include <utility>

#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {
namespace detail {

class EventWaiter {
 public:
  EventWaiter(std::shared_ptr<std::list<EventWaiter*>> waiters, boost::asio::io_context& io,
              TimePoint deadline)
      : timer(io, deadline), waiters(std::move(waiters)) {
    this->waiters->push_back(this);
  }
  ~EventWaiter() { this->waiters->remove(this); }

  boost::asio::steady_timer timer;
  // Distinguishes a notification from an expiry: cancelling a timer that has already expired has no
  // effect on the error code of its wait.
  bool notified = false;

 private:
  std::shared_ptr<std::list<EventWaiter*>> waiters;
};

}  // namespace detail

bool Event::WaitUntil(Task& task, TimePoint deadline) {
  detail::EventWaiter waiter(this->waiters, task.runtime.Impl().io, deadline);
  boost::system::error_code ignored;
  waiter.timer.async_wait(task.yield[ignored]);
  return waiter.notified;
}

void Event::Wait(Task& task) { this->WaitUntil(task, TimePoint::max()); }

void Event::NotifyAll() {
  for (detail::EventWaiter* waiter : *this->waiters) {
    waiter->notified = true;
    waiter->timer.cancel();
  }
}

}  // namespace anvilcroft
