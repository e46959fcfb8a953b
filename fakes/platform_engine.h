#ifndef FAKES_PLATFORM_ENGINE_H_
#define FAKES_PLATFORM_ENGINE_H_

// A fake of a target on the platform: responses with a server stamp, generations as resumable event
// streams, weight orders with fencing tokens, and status reports.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_server.h"

namespace anvilcroft::fakes {

class PlatformEngine {
 public:
  // `model` is the name of the model of a model engine, and empty for an app engine.
  PlatformEngine(Runtime& runtime, std::string id, std::string model);

  // Starts to listen and returns the bound address as "ip:port".
  Result<std::string> Start();

  // Starts again with another version of the software and another id, as an engine that replaces
  // this one: aborts its runs and forgets its orders.
  void Restart(std::string software);

  // Ends the process and starts it again after `restart_time`.
  void Crash();

  const std::string& Id() const { return this->id; }

  // Returns the entry, as JSON text, with which the target registers at the platform.
  std::string RegistrationEntry(const std::string& service, const std::string& zone) const;

  FakeServer& Server() { return this->server; }

  // The events that every run of `item` produces; the output is the same for each run. Those of
  // software versions other than kSoftware end with "@" and the version.
  static constexpr const char* kSoftware = "v1";
  static std::vector<std::string> Events(const std::string& item, int count,
                                         const std::string& software = kSoftware);
  // The text of these events, joined by newlines.
  static std::string TextOf(const std::string& item, int count,
                            const std::string& software = kSoftware);

  // If positive, the next run that sends this many events is aborted in the middle of the next
  // event, and the field is reset to 0.
  int break_after_events = 0;
  // Statuses that answer the next requests without a run, by request id. Each request removes the
  // first one. A 503 is marked as not executed; other statuses count as executed.
  std::map<std::string, std::vector<int>> planned_statuses;
  // If set, all answers name this limit, in requests a second.
  std::optional<double> request_limit;
  // A request with one of these bodies crashes the target as soon as it begins to run. The target
  // is back after `restart_time`, as another start under another id.
  std::set<std::string> crashing_bodies;
  Duration restart_time = milliseconds(300);
  std::vector<TimePoint> crashes;
  std::function<void()> on_restart;  // the target listens again and may register; may be empty
  bool leaving = false;              // all answers say that the target leaves
  int events_per_item = 6;
  Duration event_time = milliseconds(5);

  // Requests, orders and reads of the report that the target received.
  std::vector<TimePoint> arrivals;
  std::vector<std::string> started;                 // ids of executed requests, in order
  std::map<std::string, HttpHeaders> last_headers;  // of the requests, by request id
  std::map<std::string, int> cancelled;             // runs whose caller disconnected, by request id
  std::vector<int64_t> accepted_fences;             // fencing tokens of the accepted orders
  int64_t version = 1;                              // of the weights
  std::string software = kSoftware;                 // version of the software
  int resumed_runs = 0;  // runs that were requested to resume after an event

 private:
  // Sends `answer` with the fields that every answer has.
  void Answer(Task& task, HttpResponse::Builder answer, HttpReply& reply);
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);
  void Generate(Task& task, const HttpRequest& request, HttpReply& reply);
  void HandleOrder(Task& task, const HttpRequest& request, HttpReply& reply);

  FakeServer server;
  std::string id;
  std::string model;
  std::string address;
  int64_t started_at = 1000;
  int64_t orders = 0;
  int64_t highest_fence = 0;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_PLATFORM_ENGINE_H_
