#ifndef ANVILCROFT_RUNTIME_H_
#define ANVILCROFT_RUNTIME_H_

// A single-threaded event loop that runs stackful coroutines, called tasks.
//
// All work of an instance runs in tasks on one thread, so no state needs a lock. A task runs until
// it waits (SleepUntil, Event::WaitUntil, or an HTTP call); only then can another task run.
// Example:
//
//   Runtime runtime;
//   runtime.Spawn([&](Task& task) {
//     SleepUntil(task, SteadyNow() + seconds(1));
//     runtime.Stop();
//   });
//   runtime.Run();
//
// The coroutine library throws an exception to unwind a task that is still waiting when EndTasks()
// is called or the Runtime is destroyed. Code in a task must therefore not swallow exceptions with
// catch (...). Unwinding runs destructors that may refer to the objects the task used, so call
// EndTasks() after Run() and before those objects are destroyed.

#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/time.h"

namespace anvilcroft {

class Task;  // handle of the running coroutine; passed to every function that may wait

namespace detail {
class RuntimeImpl;
}  // namespace detail

class Runtime {
 public:
  using Body = std::function<void(Task&)>;

  Runtime();
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  // Starts a task. `body` does not run before the current task waits or ends. A std::exception that
  // leaves `body` ends this task only and is logged.
  void Spawn(Body body);

  // Starts a task that runs for as long as the process. If a std::exception leaves `body`, it is
  // logged and `body` runs again after kServiceRestartPause. `name` identifies the task in the log.
  void SpawnService(std::string name, Body body);
  static constexpr Duration kServiceRestartPause = milliseconds(500);

  // Runs tasks until Stop() is called.
  void Run();

  // Makes Run() return once the current task waits or ends. May be called from any task.
  void Stop();

  // Unwinds every task that is still waiting. Run() must not be called afterwards.
  void EndTasks();

  // Calls `handler` on the runtime's thread when the process receives SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> handler);

  // Calls `handler` on the runtime's thread whenever the process receives SIGHUP.
  void OnReload(std::function<void()> handler);

  detail::RuntimeImpl& Impl() { return *this->impl; }

 private:
  std::unique_ptr<detail::RuntimeImpl> impl;
};

// Suspends `task` until `when`. Yields to other tasks even if `when` is in the past.
void SleepUntil(Task& task, TimePoint when);

// The runtime that `task` runs on.
Runtime& RuntimeOf(Task& task);

}  // namespace anvilcroft

#endif  // ANVILCROFT_RUNTIME_H_
