#ifndef ANVILCROFT_RUNTIME_IMPL_H_
#define ANVILCROFT_RUNTIME_IMPL_H_

// The Asio side of Runtime and Task. Included by the .cc files that do network I/O; kept out of
// other headers because Asio is slow to compile.

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

// An io_context whose pending operations can be dropped while the objects that use it still live.
class EndableContext : public boost::asio::io_context {
 public:
  EndableContext() : boost::asio::io_context(1) {}

  // Destroys the handlers of all pending operations, and with them the tasks that wait for them.
  void End() { this->shutdown(); }
};

class RuntimeImpl {
 public:
  // The stack of one task. Only touched pages become resident; 64 KiB overflowed in the JSON
  // parser at the nesting limit when combined with logging.
  static constexpr std::size_t kStackBytes = 256 * 1024;

  EndableContext io;
  boost::asio::signal_set signals{io};
  boost::asio::signal_set reload{io};
};

}  // namespace detail
}  // namespace anvilcroft

#endif  // ANVILCROFT_RUNTIME_IMPL_H_
