#ifndef ANVILCROFT_ROLLOUT_NODE_H_
#define ANVILCROFT_ROLLOUT_NODE_H_

// The rollout part of an instance: control of the engines it owns, publication of weights, and
// production and delivery of samples.
//
//   auto rollout = RolloutNode::Builder(runtime).SetView(view).SetHttpClient(http)
//       .SetTable(table).SetCommitQueue(queue).SetObjects(endpoint).SetRun(...).SetTargets(...)
//       .SetReport(...).SetNotify(...).SetTracer(tracer).SetMetrics(metrics).SetSeed(seed).Build();
//   rollout->RegisterRoutes(router);
//   rollout->Start();
//
// Every durable change is a conditional transaction; ownership of shards and engines only saves
// redundant work. The node must live as long as the runtime.

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/commit_queue.h"
#include "anvilcroft/endpoint.h"
#include "anvilcroft/engine_report.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/swap_schedule.h"
#include "anvilcroft/table_client.h"
#include "anvilcroft/target.h"
#include "anvilcroft/tracer.h"
#include "anvilcroft/work_request.h"
#include "anvilcroft/work_result.h"

namespace anvilcroft {

class RolloutNode {
 public:
  class Builder;

  virtual ~RolloutNode() = default;

  // Starts the tasks. Call once.
  virtual void Start() = 0;

  // Adds the routes for trainers and GET /v1/samples.
  virtual void RegisterRoutes(HttpRouter& router) = 0;

  // Handles a notification from another instance: topic "group_shard", payload {"shard": n}. Other
  // topics and malformed payloads are ignored.
  virtual void OnNotify(const std::string& topic, const nlohmann::json& payload) = 0;

  // To be called when the roster, the configuration or weights_version of head has changed.
  virtual void OnRosterChange() = 0;
  virtual void OnConfigChange() = 0;
  virtual void OnWeightsChange() = 0;

  // Starts no more samples and orders. Samples that are running are completed, and requests of
  // trainers are still served.
  virtual void StopTakingWork() = 0;

  // Whether no group of samples is running and no order is under way.
  virtual bool Idle() const = 0;
};

class RolloutNode::Builder {
 public:
  using Run = std::function<Result<WorkResult>(Task&, const WorkRequest&)>;
  using Notify = std::function<void(const std::string& topic, const nlohmann::json& payload)>;

  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetView(ClusterView value);
  Builder& SetHttpClient(HttpClient& value);
  Builder& SetTable(TableClient& value);
  Builder& SetCommitQueue(CommitQueue& value);
  // Address of the object store.
  Builder& SetObjects(Endpoint value);
  // Runs one piece of work on a target, with admission control.
  Builder& SetRun(Run value);
  // The platform's list of targets.
  Builder& SetTargets(std::function<std::vector<Target>()> value);
  // Called with each state that an owned engine reports.
  Builder& SetReport(std::function<void(const EngineReport&)> value);
  // Tells the other instances: topic "group_shard" {"shard": n}, topic "head" {}.
  Builder& SetNotify(Notify value);
  // The role that an engine should have, "" for any. Default: any.
  Builder& SetRole(std::function<std::string(const Target&)> value);
  Builder& SetTracer(Tracer& value);
  Builder& SetMetrics(Metrics& value);
  Builder& SetSeed(uint64_t value);
  std::unique_ptr<RolloutNode> Build() const;

 private:
  friend class RolloutNodeImpl;

  Runtime& runtime;
  ClusterView view;
  HttpClient* http = nullptr;
  TableClient* table = nullptr;
  CommitQueue* queue = nullptr;
  Endpoint objects;
  Run run;
  std::function<std::vector<Target>()> targets;
  std::function<void(const EngineReport&)> report;
  Notify notify;
  std::function<std::string(const Target&)> role;
  Tracer* tracer = nullptr;
  Metrics* metrics = nullptr;
  uint64_t seed = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROLLOUT_NODE_H_
