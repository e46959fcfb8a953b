#ifndef TESTING_RUN_TASK_H_
#define TESTING_RUN_TASK_H_

// Helpers that run the body of a test in a task and wait for conditions.

#include <functional>

#include "anvilcroft/runtime.h"

namespace anvilcroft::testing {

// Runs `body` in a task and stops the runtime when it returns.
void RunTask(Runtime& runtime, const Runtime::Body& body);

// Polls `condition` until it holds. Returns false after `limit`, whose default is generous.
bool WaitUntil(Task& task, const std::function<bool()>& condition, Duration limit = seconds(20));

}  // namespace anvilcroft::testing

#endif  // TESTING_RUN_TASK_H_
