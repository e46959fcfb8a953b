#ifndef ANVILCROFT_TARGET_TABLE_H_
#define ANVILCROFT_TARGET_TABLE_H_

// The platform's full list of targets, and the states of the targets in this instance's subset
// (target_subset.h). Polls the instance list, keeps the last one while the list is unreachable, and
// probes targets of the subset that are new, lost, swapping or leaving.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/engine_report.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/target.h"
#include "anvilcroft/target_state.h"

namespace anvilcroft {

class TargetTable {
 public:
  // Maximum number of concurrent background probes.
  static constexpr int kMaxProbes = 32;
  // Timeout of one probe. A new connection that takes longer has lost several SYNs.
  static constexpr Duration kProbeTimeout = milliseconds(1500);
  // Interval at which due probes are started.
  static constexpr Duration kProbeScanInterval = milliseconds(200);

  // Polls `instance_list` every `poll_interval`.
  TargetTable(Runtime& runtime, HttpClient& http, Endpoint instance_list, ClusterView view,
              Duration poll_interval);

  // Called with the RunId of an engine that reports its state after connections to it had failed.
  // A change of its entry in the list is no sign of life: a crashed engine may be listed as
  // leaving.
  using RecoveryHook = std::function<void(const std::string& run)>;
  void SetRecoveryHook(RecoveryHook hook) { this->recovery_hook = std::move(hook); }

  // Returns the id of one process of a target. `start` is the identity that the process reported.
  static std::string RunId(const std::string& target_id, const std::string& start) {
    return target_id + "@" + start;
  }

  // Starts polling and probing.
  void Start();

  // Every target in the instance list.
  std::vector<Target> All() const;

  // The targets of `service` in the subset, in any phase.
  std::vector<std::shared_ptr<TargetState>> SubsetTargets(const std::string& service) const;

  // The state of one target of the subset, or null.
  std::shared_ptr<TargetState> Find(const std::string& target_id) const;

  // Applies a state report that EngineControl received from an engine. Ignored if the engine is not
  // in the subset.
  void ApplyReport(const EngineReport& report);

  // Recomputes the subset and the drained targets after a change of the roster, the configuration
  // or the list.
  void RebuildSubset();

  // Applies one response of the instance list: all targets, or those changed since the last one.
  // Fails with kInvalidArgument and changes nothing if the response as a whole is malformed;
  // malformed entries are logged and skipped. Public for tests.
  Result<void> Apply(const nlohmann::json& answer);

  // Registers GET /v1/targets.
  void RegisterRoutes(HttpRouter& router);

  // Returns up to `count` targets to probe in order to detect a network partition: model engines of
  // any service outside `excluded`, first those that are neither unknown nor lost, then those that
  // were lost at `since` or later.
  std::vector<std::shared_ptr<TargetState>> PartitionProbeTargets(
      const std::set<std::string>& excluded, TimePoint since, std::size_t count) const;

  // Probes one target immediately and records the outcome in its state.
  void Probe(Task& task, const std::shared_ptr<TargetState>& state);

 private:
  static void LogPhaseChange(const TargetState& state, TargetPhase from, TargetPhase to);
  void RecordReport(TargetState& state, const EngineReport& report, TimePoint now) const;

  void PollList(Task& task);
  void ProbeDueTargets();
  std::string RenderTargets() const;

  Runtime& runtime;
  HttpClient& http;
  Endpoint instance_list;
  ClusterView view;
  RecoveryHook recovery_hook;
  Duration poll_interval;
  int64_t revision = 0;
  bool list_failed = false;
  std::map<std::string, Target> all;
  std::map<std::string, std::shared_ptr<TargetState>> subset;
  std::map<std::string, std::vector<std::shared_ptr<TargetState>>> by_service;
  std::shared_ptr<int> active_probes = std::make_shared<int>(0);
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_TABLE_H_
