#include "testing/run_task.h"

namespace anvilcroft::testing {

void RunTask(Runtime& runtime, const Runtime::Body& body) {
  runtime.Spawn([&](Task& task) {
    body(task);
    runtime.Stop();
  });
  runtime.Run();
}

bool WaitUntil(Task& task, const std::function<bool()>& condition, Duration limit) {
  const TimePoint deadline = SteadyNow() + limit;
  while (!condition()) {
    if (SteadyNow() > deadline) return false;
    SleepUntil(task, SteadyNow() + milliseconds(5));
  }
  return true;
}

}  // namespace anvilcroft::testing
