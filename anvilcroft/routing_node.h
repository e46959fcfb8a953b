#ifndef ANVILCROFT_ROUTING_NODE_H_
#define ANVILCROFT_ROUTING_NODE_H_

// The request path of an instance: the API for callers, admission, at-most-once execution, target
// selection, calls to targets and retries.
//
//   const auto node = RoutingNode::Builder(runtime)
//       .SetSettings(settings).SetView(view).SetHttpClient(http).SetInstanceList(endpoint)
//       .SetCommit(commit).SetRead(read).SetTracer(tracer).SetMetrics(metrics).SetSeed(seed)
//       .Build();
//   node->RegisterRoutes(router);
//   node->Start();
//   Result<WorkResult> result = node->Run(task, request, StreamSink());

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "anvilcroft/admission.h"
#include "anvilcroft/at_most_once.h"
#include "anvilcroft/caller_api.h"
#include "anvilcroft/cluster_view.h"
#include "anvilcroft/crash_guard.h"
#include "anvilcroft/dispatcher.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/settings.h"
#include "anvilcroft/store_hooks.h"
#include "anvilcroft/stream_sink.h"
#include "anvilcroft/target_table.h"
#include "anvilcroft/tracer.h"

namespace anvilcroft {

class RoutingNode {
 public:
  class Builder;

  RoutingNode(const RoutingNode&) = delete;
  RoutingNode& operator=(const RoutingNode&) = delete;

  // Starts polling the instance list and probing targets.
  void Start();

  // Registers the API for callers and GET /v1/targets.
  void RegisterRoutes(HttpRouter& router);

  // Runs one request and returns the complete result. With a sink, the tokens of a model request
  // are also passed on as they arrive. In an error, `ran` is kNo only if no target can have run any
  // part of the work.
  Result<WorkResult> Run(Task& task, const WorkRequest& request, const StreamSink& sink);

  TargetTable& Targets() { return this->targets; }

  // Merges another instance's count of targets that crashed while they ran a request.
  void OnSuspect(const std::string& fingerprint, int64_t crash_count, int64_t ttl_ms);

  // Must be called after each change of the roster or of the configuration in force.
  void OnRosterChange();
  void OnConfigChange();

  // Number of Run calls in progress.
  std::size_t InFlight() const { return *this->in_flight; }

  // Whether no record or release of a claim is waiting to be written to the table service.
  bool Settled() const { return this->at_most_once.Settled(); }

 private:
  explicit RoutingNode(const Builder& builder);

  Result<WorkResult> RunChecked(Task& task, const WorkRequest& request, const StreamSink& sink);
  Result<AdmissionPermit> AcquirePermit(Task& task, const WorkItem& item);
  std::shared_ptr<Admission> AdmissionOf(const std::string& service);

  ClusterView view;
  Metrics& metrics;
  CrashGuard crashes;
  TargetTable targets;
  std::unique_ptr<Dispatcher> dispatcher;
  AtMostOnce at_most_once;
  CallerApi caller_api;
  std::map<std::string, std::shared_ptr<Admission>> admissions;
  std::shared_ptr<std::size_t> in_flight = std::make_shared<std::size_t>(0);
};

class RoutingNode::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetSettings(Settings value);
  Builder& SetView(ClusterView value);
  Builder& SetHttpClient(HttpClient& value);
  // Address of the platform's instance list.
  Builder& SetInstanceList(Endpoint value);
  Builder& SetCommit(CommitHook value);
  Builder& SetRead(ReadHook value);
  Builder& SetTracer(Tracer& value);
  Builder& SetMetrics(Metrics& value);
  Builder& SetSeed(uint64_t value);
  // Called with each new count of targets that crashed while they ran a request, in order to send
  // it to the other instances.
  Builder& SetBroadcastSuspect(CrashGuard::Broadcast value);
  // Target selection policy. Default: TwoChoicesPick.
  Builder& SetPick(PickHook value);

  // All settings are required, except the seed, the broadcast and the policy.
  std::unique_ptr<RoutingNode> Build() const;

 private:
  friend class RoutingNode;

  Runtime& runtime;
  Settings settings;
  ClusterView view;
  HttpClient* http = nullptr;
  Endpoint instance_list;
  CommitHook commit;
  ReadHook read;
  Tracer* tracer = nullptr;
  Metrics* metrics = nullptr;
  uint64_t seed = 1;
  CrashGuard::Broadcast broadcast;
  PickHook pick = TwoChoicesPick();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ROUTING_NODE_H_
