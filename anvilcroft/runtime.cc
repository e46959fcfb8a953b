#include "anvilcroft/runtime.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <exception>
#include <utility>

#include "anvilcroft/log.h"
#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {

Runtime::Runtime() : impl(std::make_unique<detail::RuntimeImpl>()) {
  // Without this, a write to a connection that the peer has closed raises SIGPIPE, which ends the
  // process; with it, the write returns EPIPE.
  std::signal(SIGPIPE, SIG_IGN);
}

Runtime::~Runtime() = default;

namespace {

// Runs `body` and returns whether no std::exception left it. The exception that unwinds a task is
// of another type and passes.
bool RunGuarded(const std::string& name, const Runtime::Body& body, Task& task) {
  try {
    body(task);
    return true;
  } catch (const std::exception& error) {
    LogError("runtime", "an unexpected exception ended a task",
             {{"task", name}, {"exception", error.what()}});
    return false;
  }
}

}  // namespace

void Runtime::Spawn(Body body) {
  // asio::spawn of Boost 1.74 runs the body immediately if called on the runtime's thread. Posting
  // it defers the body until the current task waits or ends.
  boost::asio::post(this->impl->io, [this, body = std::move(body)]() mutable {
    boost::asio::spawn(
        this->impl->io,
        [this, body = std::move(body)](boost::asio::yield_context yield) {
          Task task(*this, yield);
          RunGuarded("task", body, task);
        },
        boost::coroutines::attributes(detail::RuntimeImpl::kStackBytes));
  });
}

void Runtime::SpawnService(std::string name, Body body) {
  this->Spawn([name = std::move(name), body = std::move(body)](Task& task) {
    while (!RunGuarded(name, body, task)) {
      SleepUntil(task, SteadyNow() + kServiceRestartPause);
    }
  });
}

void Runtime::Run() {
  auto guard = boost::asio::make_work_guard(this->impl->io);
  this->impl->io.run();
}

void Runtime::Stop() { this->impl->io.stop(); }

void Runtime::EndTasks() { this->impl->io.DestroyPendingOperations(); }

void Runtime::OnTerminate(std::function<void()> handler) {
  this->impl->signals.add(SIGTERM);
  this->impl->signals.add(SIGINT);
  this->impl->signals.async_wait(
      [handler = std::move(handler)](const boost::system::error_code& failed, int) {
        if (!failed) handler();
      });
}

namespace {

void AwaitReload(boost::asio::signal_set& signals, std::function<void()> handler) {
  signals.async_wait([&signals, handler = std::move(handler)](
                         const boost::system::error_code& failed, int) mutable {
    if (failed) return;
    handler();
    AwaitReload(signals, std::move(handler));
  });
}

}  // namespace

void Runtime::OnReload(std::function<void()> handler) {
  this->impl->reload.add(SIGHUP);
  AwaitReload(this->impl->reload, std::move(handler));
}

void SleepUntil(Task& task, TimePoint when) {
  boost::asio::steady_timer timer(task.runtime.Impl().io, when);
  boost::system::error_code ignored;
  timer.async_wait(task.yield[ignored]);
}

Runtime& RuntimeOf(Task& task) { return task.runtime; }

}  // namespace anvilcroft
