#ifndef FAKES_FAKE_ENGINE_H_
#define FAKES_FAKE_ENGINE_H_

// A fake model engine (docs/design.md, section 5.3) with continuous batching, a prefix cache,
// weight swaps while requests run, delayed load reports and lossy cache events.
//
//   auto engine = FakeEngine::Builder(runtime).SetId("e1").SetTokensPerSecond(100).Build();
//
// An answer has max_tokens tokens in total. A request with resume_tokens gets only the tokens after
// them, and their indexes continue. The tokens depend on the prompt alone (expected_text.h). A
// prompt that contains "CRASH_TARGET" crashes the engine. POST /control/leave makes the engine
// refuse new work.

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/http_client.h"
#include "fakes/cache_events.h"
#include "fakes/engine_batch.h"
#include "fakes/engine_orders.h"
#include "fakes/fake_server.h"
#include "fakes/prefix_cache.h"

namespace anvilcroft::fakes {

class FakeEngine {
 public:
  class Builder;

  struct Options {
    std::string address = "127.0.0.1:0";
    std::string id = "engine";
    std::string zone = "zone";
    std::string service = "service";
    uint64_t seed = 1;
    double tokens_per_second = 50;  // of one stream
    EngineBatch::Limits batch;
    EngineOrders::Loaded loaded;
    EngineOrders::Options orders;
    std::string weight_store;  // "ip:port"; empty: weights are installed without a download
    Duration load_lag{0};
    Duration cache_event_lag = milliseconds(500);
    double cache_event_loss = 0.1;
    std::function<void()> on_crash;  // called after a crash, for example to exit the process
  };

  Result<std::string> Start();
  FakeServer& Server() { return this->server; }

  // Closes the listener and all connections, aborts all requests and calls the crash callback.
  void Crash();
  // Starts again after a crash, on the same address and with the initial model and weights.
  void Restart();
  // Makes the engine refuse new work; requests that run finish.
  void Leave() { this->leaving = true; }

  const EngineOrders& Orders() const { return this->orders; }
  // Events of all requests: {request_id, event: started|finished|cancelled|lost, at_ms, ...}.
  // `lost` is the request that crashed the engine.
  const nlohmann::json& Requests() const { return this->log; }
  // The body of GET /v1/state.
  nlohmann::json State();

 private:
  struct LoadReport {
    TimePoint at;
    nlohmann::json report;
  };

  FakeEngine(Runtime& runtime, const Options& options);
  EngineOrders::Hooks MakeHooks();
  void AddRoutes();
  // Steps the batch at the configured token rate, forever.
  void RunBatch(Task& task);

  void HandleGenerate(Task& task, const nlohmann::json& body, const HttpRequest& request,
                      HttpReply& reply);
  Result<std::shared_ptr<Generation>> DecodeRequest(const nlohmann::json& body,
                                                    const HttpRequest& request) const;
  void SendAnswer(Task& task, const std::shared_ptr<Generation>& item, HttpReply& reply);
  void SendStream(Task& task, const std::shared_ptr<Generation>& item, HttpReply& reply);
  void HandleOrder(Task& task, const nlohmann::json& body, HttpReply& reply);
  void HandleCancel(Task& task, const nlohmann::json& body, HttpReply& reply);
  void HandleExport(Task& task, const nlohmann::json& body, HttpReply& reply);
  void HandleImport(Task& task, const nlohmann::json& body, HttpReply& reply);

  Result<void> DownloadWeights(Task& task, int64_t version);
  // Appends the current load to `loads` if it has changed.
  void RecordLoad();
  // Returns the load as it was `load_lag` ago.
  nlohmann::json ReportedLoad();
  void LogEvent(const std::string& event, const Generation& item);
  // Returns the request id for the answer. Returns a wrong one, and counts down the fault, while
  // the fault wrong_request_id is set.
  std::string ResponseRequestId(const Generation& item);
  bool Silent() { return this->server.Faults().mode == FaultPlan::Mode::kSilent; }
  double SlowdownFactor();

  Options options;
  FakeServer server;
  HttpClient http;
  CacheEvents cache_events;
  PrefixCache cache;
  EngineBatch batch;
  EngineOrders orders;
  bool leaving = false;
  int64_t starts = 0;
  std::string instance_start;
  std::deque<LoadReport> loads;  // oldest first; the first one is the one reported
  nlohmann::json log = nlohmann::json::array();
  std::shared_ptr<Event> work_added = std::make_shared<Event>();
};

class FakeEngine::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetAddress(std::string value);
  Builder& SetId(std::string value);
  Builder& SetZone(std::string value);
  Builder& SetService(std::string value);
  Builder& SetSeed(uint64_t value);
  Builder& SetTokensPerSecond(double value);
  Builder& SetPrefillTokensPerSecond(double value);
  Builder& SetBatchSize(std::size_t value);
  Builder& SetKvTokens(int64_t value);
  // "ip:port" of the weight store.
  Builder& SetWeightStore(std::string value);
  Builder& SetWeightVersion(int64_t value);
  Builder& SetSwapTime(Duration value);
  Builder& SetChecksFencing(bool value);
  Builder& SetLoadLag(Duration value);
  Builder& SetCacheEvents(Duration lag, double loss);
  Builder& SetOnCrash(std::function<void()> value);

  std::unique_ptr<FakeEngine> Build() const;

 private:
  Runtime& runtime;
  Options options;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_ENGINE_H_
