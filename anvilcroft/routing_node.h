#ifndef ANVILCROFT_ROUTING_NODE_H_
#define ANVILCROFT_ROUTING_NODE_H_

// The request path of an instance: admission, at-most-once execution, choice of target, calls,
// retries and the interface for callers.
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

  // The routes of callers and GET /v1/targets.
  void RegisterRoutes(HttpRouter& router);

  // Runs one piece of work to its whole answer. With a sink the tokens of a model request are
  // passed on as they come, and the result follows. An error's ran is kNo only if no target may
  // have run any part of the work.
  Result<WorkResult> Run(Task& task, const WorkRequest& request, const StreamSink& sink);

  TargetTable& Targets() { return this->targets; }

  // Takes over another instance's count of targets that died on a request.
  void OnSuspect(const std::string& fingerprint, int64_t deaths, int64_t ttl_ms);

  // The roster or the configuration in force changed.
  void OnRosterChange();
  void OnConfigChange();

  // Number of calls of Run under way.
  std::size_t InFlight() const { return *this->in_flight; }

  // Whether no record or release of a claim waits for the table service.
  bool Settled() const { return this->at_most_once.Settled(); }

 private:
  explicit RoutingNode(const Builder& builder);

  Result<WorkResult> RunChecked(Task& task, const WorkRequest& request, const StreamSink& sink);
  Result<AdmissionPermit> Enter(Task& task, const WorkItem& item);
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
  // Called with each new count of targets that died on a request, for the other instances.
  Builder& SetBroadcastSuspect(CrashGuard::Broadcast value);
  // Policy of target choice. Default: TwoChoicesPick.
  Builder& SetPick(PickHook value);

  // All but the last three are required.
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
