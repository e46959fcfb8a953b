#ifndef TESTING_ROUTING_FIXTURE_H_
#define TESTING_ROUTING_FIXTURE_H_

// Small in-process stand-ins for the tests of the request path.

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

// A target whose behaviour tests change between and during requests. As a model engine it answers
// with tokens 0, 1, 2, ... whose texts are "0 ", "1 ", "2 ", ...
class StubTarget {
 public:
  StubTarget(Runtime& runtime, std::string id, TargetKind kind, std::string service);

  // Closes the listener and resets every request under way.
  void Disconnect();
  // Accepts connections again at the same address, as the same run: it was cut off, not dead.
  void Reconnect();

  nlohmann::json ListEntry() const;
  const std::string& Id() const { return this->id; }

  int64_t version = 1;      // of the weights; 0: events carry none
  Duration token_time{0};   // before each token
  int break_after = -1;     // resets the connection after this many tokens
  int silent_after = -1;    // goes silent after this many tokens or, as an app, requests
  int wrong_id_at = -1;     // gives this token the id of another request
  int skip_at = -1;         // leaves this token out
  int finish_at = -1;       // ends the answer as if it were whole after this many tokens
  std::string crash_on;     // dies when the body contains this
  Duration crash_delay{0};  // and before it does
  std::string refuse_code;  // answers 503 with this code
  std::string list_state = "live";
  std::string echo_id;            // app: answers with this id instead of the request's own
  Duration answer_time{0};        // app: before the answer
  std::function<void()> on_call;  // before each answer

  std::vector<std::string> calls;      // bodies of the work received, refusals not counted
  std::vector<std::string> cancelled;  // ids of cancelled calls
  int refused = 0;

 private:
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);
  void Generate(Task& task, const nlohmann::json& body, HttpReply& reply);
  void Answer(Task& task, const HttpRequest& request, HttpReply& reply);

  std::string id;
  TargetKind kind;
  std::string service;
  void Listen(const std::string& at);

  Runtime& runtime;
  std::vector<std::unique_ptr<HttpServer>> servers;  // the last one listens
  std::string address;
  bool disconnected = false;
};

// The table service in memory, with the errors of TableClient.
class StubTable {
 public:
  Result<RowVersion> Commit(Task& task, const Transaction& transaction, TimePoint deadline);
  Result<std::optional<Row>> Read(Task& task, const std::string& table, const std::string& key,
                                  TimePoint deadline);

  // Faults of the next transactions, in order: 'a' applies but loses its answer, 'l' applies late
  // with a lost answer, 'n' does not apply and loses its answer.
  std::string faults;
  bool down = false;  // every call fails, ran = no
  std::map<std::string, Row> rows;

 private:
  Result<RowVersion> Apply(const Transaction& transaction);

  RowVersion last = 0;
};

// One instance's request path over stub targets, with its interface for callers.
class StubInstance {
 public:
  StubInstance(Runtime& runtime, StubTable& table, std::string id,
               std::vector<StubTarget*> targets);

  // Calls the interface for callers.
  Result<HttpResponse> Call(Task& task, const std::string& path, const std::string& body,
                            const std::vector<HttpHeaders::Field>& headers = {});
  // Waits until `count` targets are ready.
  bool WaitReady(Task& task, std::size_t count);
  std::size_t ReadyCount() const;
  // Renews the instance list from the stubs.
  void UpdateInstanceList();
  HttpClient& Http() { return this->http; }
  Endpoint Address() const { return this->address; }

  bool lease = true;
  nlohmann::json config;  // the document; ApplyConfig puts it in force
  void ApplyConfig();
  Metrics metrics;
  std::vector<std::string> broadcast_fingerprints;  // broadcast fingerprints
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

// Sum of all replies' error code, as "overloaded"; "" for a response without one.
std::string ErrorCodeOf(const HttpResponse& response);

}  // namespace anvilcroft::testing

#endif  // TESTING_ROUTING_FIXTURE_H_
