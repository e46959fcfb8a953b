#ifndef FAKES_FAKE_SERVER_H_
#define FAKES_FAKE_SERVER_H_

// The HTTP server that all fakes share: routes, fault injection, the log and crashes.
//
//   FakeServer server(runtime, "127.0.0.1:0");
//   server.Routes().Add("GET", "/v1/thing", handler);
//   server.SetLog([&](const HttpRequest&) { return json{{"things", things}}; });
//   server.Start();
//
// Requests under /control/, such as POST /control/faults and GET /control/log, are not subject to
// faults. The mode of the FaultPlan is applied to all other requests before their handler runs. A
// handler that has to wait calls Delay, which returns early on a crash.

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/runtime.h"
#include "fakes/fault_plan.h"

namespace anvilcroft::fakes {

class FakeServer {
 public:
  using LogReader = std::function<nlohmann::json(const HttpRequest&)>;
  using Filter = std::function<bool(const HttpRequest&)>;

  FakeServer(Runtime& runtime, std::string address);
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  // The routes that are subject to faults.
  HttpRouter& Routes() { return this->routes; }
  // The routes under /control/, which are not subject to faults.
  HttpRouter& ControlRoutes() { return this->control; }
  // Sets a handler for all requests outside /control/, which replaces Routes().
  void SetHandler(HttpHandler handler) { this->handler = std::move(handler); }
  // Sets the function that produces the response body of GET /control/log.
  void SetLog(LogReader reader) { this->log_reader = std::move(reader); }
  // Restricts the fault mode to requests for which `filter` returns true. Default: all requests.
  void SetFaultFilter(Filter filter) { this->fault_filter = std::move(filter); }

  // Starts to listen and returns the bound address as "ip:port".
  Result<std::string> Start();

  // The current faults. Handlers decrement the counted faults in place with ConsumeOne.
  FaultPlan& Faults() { return this->faults; }
  // Replaces the faults. Closes the listener if the new mode is kRefuse and opens it again if only
  // the previous one was.
  void SetFaults(const FaultPlan& plan);

  // Waits for `duration`, or until a crash. Returns false after a crash, even if the fake has been
  // reopened since.
  bool Delay(Task& task, Duration duration);

  // Keeps the connection open without sending a response until a crash, for at most ten minutes;
  // then aborts it.
  void HoldUnanswered(Task& task, HttpReply& reply);

  // Simulates the end of the process: closes the listener and idle connections, and ends the waits
  // in Delay, so that their handlers abort the other connections.
  void Crash();
  bool Crashed() const { return this->crashed; }
  // Listens on the same address again, after a crash or at the end of kRefuse.
  void Reopen();

  // Milliseconds since the construction of the fake.
  int64_t ElapsedMillis() const { return ToMillis(SteadyNow() - this->created); }

  // The runtime that serves the requests.
  Runtime& Loop() { return this->runtime; }

 private:
  Result<std::string> Listen(const std::string& listen_address);
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);
  void HandleFaults(Task& task, const HttpRequest& request, HttpReply& reply);
  // Applies the fault mode to a request. Returns false if the request was answered or aborted.
  bool ApplyMode(Task& task, const HttpRequest& request, HttpReply& reply);

  Runtime& runtime;
  std::string address;
  TimePoint created = SteadyNow();
  HttpRouter routes;
  HttpRouter control;
  HttpHandler handler;
  LogReader log_reader;
  Filter fault_filter;
  FaultPlan faults;
  uint64_t refusals = 0;  // how often kRefuse began
  bool crashed = false;
  uint64_t crashes = 0;
  // Shared with the tasks that wait for it, because a task that is still suspended at the end of a
  // test is unwound after the destruction of the fake.
  std::shared_ptr<Event> crash_event = std::make_shared<Event>();
  // The last one is the current server. Earlier ones are kept because they may still have open
  // connections.
  std::vector<std::unique_ptr<HttpServer>> servers;
};

// Returns a route handler that parses the request body as JSON and passes it to `handle`. A
// malformed body is answered with 400.
RouteHandler JsonRoute(
    std::function<void(Task&, const nlohmann::json&, const HttpRequest&, HttpReply&)> handle);

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_SERVER_H_
