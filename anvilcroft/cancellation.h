#ifndef ANVILCROFT_CANCELLATION_H_
#define ANVILCROFT_CANCELLATION_H_

// A request to give up work that is under way, shared between the task that runs the work and the
// one that no longer needs it (the loser of a hedge, a stream whose caller is gone).

#include <functional>
#include <list>
#include <memory>

namespace anvilcroft {

class Cancellation {
 public:
  using Hook = std::function<void()>;

  // Runs every registered hook once. Later calls do nothing.
  void Cancel();

  bool Cancelled() const { return this->cancelled; }

  // Keeps `hook` registered while the returned handle lives. Runs it at once if the work is
  // cancelled already.
  std::shared_ptr<void> OnCancel(Hook hook);

 private:
  bool cancelled = false;
  std::shared_ptr<std::list<Hook>> hooks = std::make_shared<std::list<Hook>>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CANCELLATION_H_
