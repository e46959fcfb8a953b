#ifndef FAKES_FAKE_APP_H_
#define FAKES_FAKE_APP_H_

// A fake app engine: an HTTP service, some of whose operations must not run more than once.
//
// Every POST outside /control/ counts as one run. It is appended to the log and answered with
// {"result": {"path", "digest", "run"}, "request_id"}, where `run` numbers the runs from 1. Tests
// use the log to check at-most-once execution. A body that contains "CRASH_TARGET" crashes the app.
// POST /control/leave makes the app refuse new work.

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

  // Makes the app refuse new work; requests that run finish.
  void Leave() { this->leaving = true; }
  // Closes the listener and all connections and calls the crash callback.
  void Crash();

  // Every run: {run, path, key, request_id, body, at_ms}. `key` is the Idempotency-Key header.
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
  // Time between a run and its answer. Default 0.
  Builder& SetDelay(Duration value);
  // Called after a crash, for example to exit the process.
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
