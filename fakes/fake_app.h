#ifndef FAKES_FAKE_APP_H_
#define FAKES_FAKE_APP_H_

// An app engine: a plain service beside the model engines, some of whose calls may run only once.
//
// Every POST outside /control/ runs, is appended to the log and answered with
// {"result": {"path", "digest", "run"}, "request_id"}, where `run` numbers the runs from 1. The log
// is the proof of at-most-once execution. A body that contains "CRASH_TARGET" crashes the app.
// POST /control/leave makes it refuse new work.

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "fakes/fake_server.h"

namespace anvilcroft::fakes {

class FakeApp {
 public:
  class Builder;

  Result<std::string> Start() { return this->server.Start(); }
  FakeServer& Server() { return this->server; }

  void Leave() { this->leaving = true; }
  // Closes the listener and all connections.
  void Crash();

  // Every run: {run, path, key, request_id, body, at_ms}, where key is the Idempotency-Key header.
  const nlohmann::json& Runs() const { return this->runs; }

 private:
  explicit FakeApp(const Builder& builder);
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);

  FakeServer server;
  Duration delay;
  std::function<void()> on_crash;
  bool leaving = false;
  nlohmann::json runs = nlohmann::json::array();
};

class FakeApp::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetAddress(std::string value);
  // Time from a run to its answer. Default 0.
  Builder& SetDelay(Duration value);
  // Called after a crash, for a process to exit.
  Builder& SetOnCrash(std::function<void()> value);

  std::unique_ptr<FakeApp> Build() const;

 private:
  friend class FakeApp;

  Runtime& runtime;
  std::string address = "127.0.0.1:0";
  Duration delay{0};
  std::function<void()> on_crash;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_APP_H_
