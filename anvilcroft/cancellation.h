#ifndef ANVILCROFT_CANCELLATION_H_
#define ANVILCROFT_CANCELLATION_H_

// A cancellation token, shared between the task that does some work and the task that may cancel it
// (for example the slower attempt of a hedged request, or a stream whose caller has disconnected).

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

  // Registers `hook` until the returned handle is destroyed. If already cancelled, runs it at once
  // and returns null.
  std::shared_ptr<void> OnCancel(Hook hook);

 private:
  bool cancelled = false;
  std::shared_ptr<std::list<Hook>> hooks = std::make_shared<std::list<Hook>>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CANCELLATION_H_
