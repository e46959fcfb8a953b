#ifndef FAKES_FAKE_SERVER_H_
#define FAKES_FAKE_SERVER_H_

// The HTTP side that all fakes share: routes, faults, the log and crashes.
//
//   FakeServer server(runtime, "127.0.0.1:0");
//   server.Routes().Add("GET", "/v1/thing", handler);
//   server.SetLog([&](const HttpRequest&) { return json{{"things", things}}; });
//   server.Start();
//
// POST /control/faults and GET /control/log are always answered; the mode of the FaultPlan applies
// to all other requests before their handler runs. A handler that waits does so with Delay, so
// that a crash ends it.

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

  // Routes to which the faults apply.
  HttpRouter& Routes() { return this->routes; }
  // Routes under /control/, to which no fault applies.
  HttpRouter& Control() { return this->control; }
  // Takes the requests outside /control/ in place of Routes().
  void SetHandler(HttpHandler handler) { this->handler = std::move(handler); }
  // Answers GET /control/log.
  void SetLog(LogReader reader) { this->log_reader = std::move(reader); }
  // Which requests the mode applies to; all of them by default.
  void SetAffected(Filter filter) { this->affected = std::move(filter); }

  // Binds, starts and returns "ip:port".
  Result<std::string> Start();

  // The present faults; counted ones are taken from here.
  FaultPlan& Faults() { return this->faults; }
  // Replaces the faults and opens or closes the listener as the mode asks.
  void SetFaults(const FaultPlan& plan);

  // Waits for `duration`. Returns false if the fake crashed, even if it runs again.
  bool Delay(Task& task, Duration duration);

  // Keeps the connection open without an answer, until a crash or for ten minutes.
  void Hold(Task& task, HttpReply& reply);

  // Closes the listener and every connection, as the end of the process would.
  void Crash();
  bool Crashed() const { return this->crashed; }
  // Listens again on the same address after a crash or a refusal.
  void Reopen();

  // Milliseconds since the fake was made.
  int64_t Millis() const { return ToMillis(SteadyNow() - this->made); }

  Runtime& Loop() { return this->runtime; }

 private:
  Result<std::string> Listen(const std::string& where);
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);
  void HandleFaults(Task& task, const HttpRequest& request, HttpReply& reply);
  // Applies the mode. Returns false when the request is done with.
  bool Admit(Task& task, const HttpRequest& request, HttpReply& reply);

  Runtime& runtime;
  std::string address;
  TimePoint made = SteadyNow();
  HttpRouter routes;
  HttpRouter control;
  HttpHandler handler;
  LogReader log_reader;
  Filter affected;
  FaultPlan faults;
  uint64_t refusals = 0;
  bool crashed = false;
  uint64_t crashes = 0;
  // Shared with the tasks that wait for it: a task left over at the end of a test is unwound after
  // the fake itself is gone.
  std::shared_ptr<Event> crash = std::make_shared<Event>();
  // Earlier servers stay, because their connections may still be open.
  std::vector<std::unique_ptr<HttpServer>> servers;
};

// Parses a JSON body and hands it to `handle`; answers 400 to a malformed one.
RouteHandler JsonRoute(
    std::function<void(Task&, const nlohmann::json&, const HttpRequest&, HttpReply&)> handle);

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_SERVER_H_
