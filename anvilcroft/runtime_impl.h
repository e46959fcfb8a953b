#ifndef ANVILCROFT_RUNTIME_IMPL_H_
#define ANVILCROFT_RUNTIME_IMPL_H_

// The Asio objects behind Runtime and Task. Include this only from .cc files that do network I/O:
// Asio is slow to compile.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "anvilcroft/runtime.h"

namespace anvilcroft {

class Task {
 public:
  Task(Runtime& runtime, boost::asio::yield_context yield) : runtime(runtime), yield(yield) {}
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  Runtime& runtime;
  boost::asio::yield_context yield;
};

namespace detail {

// An io_context whose pending operations can be destroyed before the io_context itself, while the
// objects that the tasks refer to still exist.
class IoContext : public boost::asio::io_context {
 public:
  IoContext() : boost::asio::io_context(1) {}

  // Destroys the handlers of all pending operations, which unwinds the tasks that wait for them.
  void DestroyPendingOperations() { this->shutdown(); }
};

class RuntimeImpl {
 public:
  // Stack size of a task. Only touched pages become resident. 64 KiB overflowed when a task parsed
  // JSON at the nesting limit and logged.
  static constexpr std::size_t kStackBytes = 256 * 1024;

  IoContext io;
  boost::asio::signal_set signals{io};
  boost::asio::signal_set reload{io};
};

}  // namespace detail
}  // namespace anvilcroft

#endif  // ANVILCROFT_RUNTIME_IMPL_H_
