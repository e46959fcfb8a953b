#ifndef ANVILCROFT_RUNTIME_H_
#define ANVILCROFT_RUNTIME_H_

// The process's single thread and its tasks.
//
// All work of an instance runs as tasks (stackful coroutines) on one thread, so no state needs a
// lock. A task runs until it waits (SleepUntil, Event::WaitUntil, or an HTTP call); only then can
// another task run. Use:
//
//   Runtime runtime;
//   runtime.Spawn([&](Task& task) {
//     SleepUntil(task, SteadyNow() + seconds(1));
//     runtime.Stop();
//   });
//   runtime.Run();
//
// A task that still waits when EndTasks() is called or its Runtime is destroyed is unwound by an
// exception of the coroutine library; code in a task must therefore not swallow exceptions with
// catch (...). Unwinding runs destructors that may refer to the objects the task used, so call
// EndTasks() after Run() and before those objects are destroyed.

#include <functional>
#include <memory>

#include "anvilcroft/time.h"

namespace anvilcroft {

class Task;  // the running coroutine; passed to every function that may wait

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

  // Starts a task. `body` first runs after the caller waits or returns to the loop.
  void Spawn(Body body);

  // Runs tasks until Stop() is called.
  void Run();

  // Ends Run() after the step that is under way. May be called from any task.
  void Stop();

  // Unwinds every task that still waits. The runtime cannot run afterwards.
  void EndTasks();

  // Calls `handler` on the runtime's thread when the process receives SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> handler);

  // Calls `handler` on the runtime's thread whenever the process receives SIGHUP.
  void OnReload(std::function<void()> handler);

  detail::RuntimeImpl& Impl() { return *this->impl; }

 private:
  std::unique_ptr<detail::RuntimeImpl> impl;
};

// Waits until `when`. A time in the past still lets other tasks run first.
void SleepUntil(Task& task, TimePoint when);

// The runtime that `task` runs on.
Runtime& RuntimeOf(Task& task);

}  // namespace anvilcroft

#endif  // ANVILCROFT_RUNTIME_H_
