#ifndef TESTING_ROUTING_FIXTURE_H_
#define TESTING_ROUTING_FIXTURE_H_

// In-process stubs of the targets, the table service and an instance, for tests of the request
// path.

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/http_client.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/routing_node.h"
#include "testing/run_task.h"

namespace anvilcroft::testing {

// A target whose behaviour can be changed between and during requests. A model engine generates the
// tokens 0, 1, 2, ... with the texts "0 ", "1 ", "2 ", ...
class StubTarget {
 public:
  StubTarget(Runtime& runtime, std::string id, TargetKind kind, std::string service);

  // Closes the listener and resets the connection of every request in progress.
  void Disconnect();
  // Listens at the same address again with the same instance_start, like a target that was
  // unreachable but did not restart.
  void Reconnect();

  nlohmann::json ListEntry() const;
  const std::string& Id() const { return this->id; }

  int64_t version = 1;      // weight version; with 0, events carry no version
  Duration token_time{0};   // before each token
  int break_after = -1;     // resets the connection after this many tokens; -1: never
  int silent_after = -1;    // stops responding after this many tokens (app engine: requests)
  int wrong_id_at = -1;     // sends this token with the id of another request
  int skip_at = -1;         // omits this token
  int finish_at = -1;       // ends the answer as complete before this token
  std::string crash_on;     // disconnects, as in a crash, when the body contains this
  Duration crash_delay{0};  // time from such a request to the disconnect
  std::string refuse_code;  // if set, refuses work with status 503 and this error code
  std::string list_state = "live";
  std::string echo_id;            // app engine: if set, sent in the response as the request's id
  Duration answer_time{0};        // app engine: delay before the answer
  std::function<void()> on_call;  // before each answer

  std::vector<std::string> calls;      // bodies of the accepted requests
  std::vector<std::string> cancelled;  // request ids received by /v1/cancel
  int refused = 0;                     // number of refused requests

 private:
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);
  void Generate(Task& task, const nlohmann::json& body, HttpReply& reply);
  void Answer(Task& task, const HttpRequest& request, HttpReply& reply);

  std::string id;
  TargetKind kind;
  std::string service;
  void Listen(const std::string& at);

  Runtime& runtime;
  std::vector<std::unique_ptr<HttpServer>> servers;  // only the last one listens
  std::string address;
  bool disconnected = false;
};

// An in-memory table service with the interface and the errors of TableClient.
class StubTable {
 public:
  Result<RowVersion> Commit(Task& task, const Transaction& transaction, TimePoint deadline);
  Result<std::optional<Row>> Read(Task& task, const std::string& table, const std::string& key,
                                  TimePoint deadline);

  // Faults of the next transactions, one character each. The answer is lost in all cases; 'a'
  // applies the transaction at once, 'l' applies it 30 ms later, and 'n' does not apply it.
  std::string faults;
  bool down = false;  // every call fails with ran = no
  std::map<std::string, Row> rows;

 private:
  Result<RowVersion> Apply(const Transaction& transaction);

  RowVersion last = 0;
};

// The request path of one instance over stub targets, with an HTTP server for callers.
class StubInstance {
 public:
  StubInstance(Runtime& runtime, StubTable& table, std::string id,
               std::vector<StubTarget*> targets);

  // Sends a request to the instance's HTTP server: POST, or GET if `body` is empty.
  Result<HttpResponse> Call(Task& task, const std::string& path, const std::string& body,
                            const std::vector<HttpHeaders::Field>& headers = {});
  // Waits until `count` targets are eligible. Returns false on timeout.
  bool WaitEligible(Task& task, std::size_t count);
  // Number of targets that are eligible for new work.
  std::size_t EligibleCount() const;
  // Applies an instance list with the current entries of the stub targets.
  void UpdateInstanceList();
  HttpClient& Http() { return this->http; }
  Endpoint Address() const { return this->address; }

  bool lease = true;
  nlohmann::json config;  // the configuration document; changes take effect in ApplyConfig()
  void ApplyConfig();
  Metrics metrics;
  std::vector<std::string> broadcast_fingerprints;  // of requests reported to other instances
  std::unique_ptr<RoutingNode> node;

 private:
  std::vector<StubTarget*> targets;
  int64_t list_revision = 0;
  std::shared_ptr<const ConfigDocument> document;
  std::shared_ptr<const Roster> roster;
  HttpClient http;
  Tracer tracer;
  HttpRouter router;
  std::unique_ptr<HttpServer> server;
  Endpoint address;
};

// The error code in the body of `response`, such as "overloaded"; empty if there is none.
std::string ErrorCodeOf(const HttpResponse& response);

}  // namespace anvilcroft::testing

#endif  // TESTING_ROUTING_FIXTURE_H_
