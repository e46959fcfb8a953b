#ifndef ANVILCROFT_ROLLOUT_NODE_H_
#define ANVILCROFT_ROLLOUT_NODE_H_

// The rollout part of an instance: controls the engines that the instance owns, publishes weights,
// and produces and delivers samples.
//
//   auto rollout = RolloutNode::Builder(runtime).SetView(view).SetHttpClient(http)
//       .SetTable(table).SetCommitQueue(queue).SetObjects(endpoint).SetRun(...).SetTargets(...)
//       .SetReport(...).SetNotify(...).SetTracer(tracer).SetMetrics(metrics).SetSeed(seed).Build();
//   rollout->RegisterRoutes(router);
//   rollout->Start();
//
// Every durable change is a conditional transaction; ownership of shards and engines only avoids
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

  // To be called after a change of the roster, of the configuration, or of weights_version in the
  // head row.
  virtual void OnRosterChange() = 0;
  virtual void OnConfigChange() = 0;
  virtual void OnWeightsChange() = 0;

  // Prevents new samples and new orders to engines. Running samples are completed, and requests
  // from trainers are still served.
  virtual void StopTakingWork() = 0;

  // Whether no group of samples is running and no order to an engine is in progress.
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
  // Runs one request on a target, with admission control.
  Builder& SetRun(Run value);
  // Returns the platform's list of targets.
  Builder& SetTargets(std::function<std::vector<Target>()> value);
  // Called with each report of an owned engine.
  Builder& SetReport(std::function<void(const EngineReport&)> value);
  // Sends a notification to the other instances: topic "group_shard" with payload {"shard": n}, or
  // topic "head" with payload {}.
  Builder& SetNotify(Notify value);
  // Returns the role that an engine should have, or "" for any. Default: any.
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
