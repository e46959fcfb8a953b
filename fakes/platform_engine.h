#ifndef FAKES_PLATFORM_ENGINE_H_
#define FAKES_PLATFORM_ENGINE_H_

// A stand-in of a target on the platform: signed answers, generations as streams of events with
// resumption, weight orders with fencing, and reports.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_server.h"

namespace anvilcroft::fakes {

class PlatformEngine {
 public:
  PlatformEngine(Runtime& runtime, std::string id, std::string model);

  // Binds, starts and returns "ip:port".
  Result<std::string> Start();

  // The entry by which the target registers itself.
  std::string Entry(const std::string& service, const std::string& zone) const;

  FakeServer& Server() { return this->server; }

  // The text that any run of `item` produces, event by event.
  static std::vector<std::string> Events(const std::string& item, int count);
  static std::string TextOf(const std::string& item, int count);

  // How the next runs break: after this many events the connection ends; 0: they do not.
  int break_after = 0;
  // Answers of this kind are sent before any run: 0 none, else the status (503 is not executed).
  std::map<std::string, std::vector<int>> answers;  // by request id, taken from the front
  int events_per_item = 6;
  Duration event_time = milliseconds(5);

  // What the target saw.
  std::vector<std::string> started;      // request ids, in order
  std::map<std::string, int> cancelled;  // requests whose caller left, by id
  std::vector<int64_t> fences;           // of accepted orders
  int64_t version = 1;
  int resumed_runs = 0;  // runs that were asked to go on after an event

 private:
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);
  void Generate(Task& task, const HttpRequest& request, HttpReply& reply);
  void TakeOrder(Task& task, const HttpRequest& request, HttpReply& reply);

  FakeServer server;
  std::string id;
  std::string model;
  std::string address;
  int64_t orders = 0;
  int64_t highest_fence = 0;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_PLATFORM_ENGINE_H_
