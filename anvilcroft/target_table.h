#ifndef ANVILCROFT_TARGET_TABLE_H_
#define ANVILCROFT_TARGET_TABLE_H_

// The targets this instance knows: the platform's whole list, and the states of the working
// subset (target_subset.h). Polls the list, keeps the last one while the list is unreachable, and
// probes targets that are new, lost, swapping or leaving.

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
  // Most probes under way at once.
  static constexpr int kMaxProbes = 32;
  // Time for one probe. A new connection that takes longer has lost several SYNs.
  static constexpr Duration kProbeTimeout = milliseconds(1500);
  static constexpr Duration kProbeTick = milliseconds(200);

  // Polls `instance_list` every `poll`.
  TargetTable(Runtime& runtime, HttpClient& http, Endpoint instance_list, ClusterView view,
              Duration poll);

  // Called with the RunName of an engine that had refused connections and answers again.
  using BackHook = std::function<void(const std::string& run)>;
  void OnBack(BackHook hook) { this->on_back = std::move(hook); }

  // Name of the run of a target that began as `start`.
  static std::string RunName(const std::string& target_id, const std::string& start) {
    return target_id + "@" + start;
  }

  // Starts polling and probing.
  void Start();

  // Every target that the list names and that is not gone.
  std::vector<Target> All() const;

  // The targets of `service` in the working subset, in whatever phase.
  std::vector<std::shared_ptr<TargetState>> Working(const std::string& service) const;

  // The state of one target of the working subset, or null.
  std::shared_ptr<TargetState> Find(const std::string& target_id) const;

  // Takes over what the engine control role learned from an engine.
  void Report(const EngineReport& report);

  // Works out the subset and the drained targets again, after a change of roster, configuration
  // or list.
  void Rebuild();

  // Applies one answer of the instance list. Fails with kInvalidArgument and changes nothing if
  // it is malformed. Called by the poll; public for tests.
  Result<void> Apply(const nlohmann::json& answer);

  // GET /v1/targets.
  void RegisterRoutes(HttpRouter& router);

  // Up to `count` model engines of any service that are not in `excluded` and answered when last
  // asked, followed by those that were lost at `since` or later.
  std::vector<std::shared_ptr<TargetState>> Witnesses(const std::set<std::string>& excluded,
                                                      TimePoint since, std::size_t count) const;

  // Probes one target now and records the outcome in its state.
  void Probe(Task& task, const std::shared_ptr<TargetState>& state);

 private:
  void NotePhase(const TargetState& state, TargetPhase from, TargetPhase to) const;

  void Poll(Task& task);
  void ProbeDueTargets();
  std::string Render() const;

  Runtime& runtime;
  HttpClient& http;
  Endpoint instance_list;
  ClusterView view;
  BackHook on_back;
  Duration poll;
  int64_t revision = 0;
  bool list_failed = false;
  std::map<std::string, Target> all;
  std::map<std::string, std::shared_ptr<TargetState>> working;
  std::map<std::string, std::vector<std::shared_ptr<TargetState>>> by_service;
  std::shared_ptr<int> probes = std::make_shared<int>(0);
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_TABLE_H_
