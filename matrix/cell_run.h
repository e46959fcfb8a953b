#ifndef MATRIX_CELL_RUN_H_
#define MATRIX_CELL_RUN_H_

// One cell of the fault matrix while it runs: a site, its callers and trainer, and what was seen.
//
// Verdicts are drawn from the logs of the fakes and from what callers and the trainer received.

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/runtime.h"
#include "fakes/local_cluster.h"
#include "fakes/test_caller.h"
#include "matrix/links.h"

namespace anvilcroft::matrix {

using nlohmann::json;

// Numbers of requests, each sent by a caller of its own.
struct Work {
  int whole = 0;
  int streams = 0;
  int lookups = 0;
  int confirmations = 0;         // repeated by their caller until the deadline
  int single_confirmations = 0;  // sent once, so that "ran": "no" is the last word on the key
  int64_t tokens = 150;          // of a model request
  int rounds = 4;                // requests of one caller of a model, one after the other
  int trainer_tokens = 0;        // of a sample; 0: no trainer
};

class CellRun {
 public:
  using Node = fakes::LocalCluster::Node;

  CellRun(Runtime& runtime, fakes::LocalCluster& cluster, uint64_t seed);

  // Creates the deployment and waits until every instance knows every target.
  void Prepare(Task& task);
  void StartWork(const Work& work);
  // Waits until each request and the trainer have an outcome, or for the limit.
  void FinishWork(Task& task);

  Result<HttpResponse> Call(Task& task, const std::string& address, const std::string& method,
                            const std::string& target, const json& body, Duration limit);
  // The JSON answer of a GET, or null.
  json Get(Task& task, const std::string& address, const std::string& target);
  json LogOf(Task& task, const Node& node, const std::string& query = "");
  // Sets faults of a fake; a refused fault is a failure of the cell.
  void SetFaults(Task& task, const Node& node, const json& faults);
  void SetAppFaults(Task& task, const json& faults);
  // Sets faults of the link in front of `id` or, with an empty id, of those of all targets.
  void SetLinkFaults(Task& task, const std::string& id, const json& faults);
  bool WaitFor(Task& task, Duration limit, const std::function<bool()>& holds);
  // Whether the table's log has a write to `table` for which `wanted` holds (null: any).
  bool TableShows(Task& task, const std::string& table,
                  const std::function<bool(const json& value)>& wanted = nullptr);

  // Submits a patch on version `base` and repeats it with the same id until it has an outcome.
  void SubmitPatch(Task& task, std::size_t instance, int64_t base, const std::string& id,
                   const json& patch);
  // Publishes weights `version` through any instance.
  void Publish(Task& task, int64_t version);
  // Sends a request that crashes its target, again and again until it is refused for good.
  void StartCrashingRequest();
  // Marks an engine as leaving in the instance list and watches for work that starts on it later.
  void ListTarget(Task& task, const Node& node, const std::string& state);
  void WatchLeaving(const Node& node);

  // An instance (the last one named in a row of claims or owners, if any), engine (the busiest) or
  // app engine that no earlier fault has hit. Marks it as hit.
  Node& PickInstance(Task& task);
  Node& PickEngine(Task& task);
  Node& PickApp();
  void StopGracefully(Node& node);
  // Starts an instance; it must be ready by the end of the cell.
  void AddInstance();

  void SetLinks(Links started) { this->links = std::move(started); }

  fakes::LocalCluster& Cluster() { return this->cluster; }
  const fakes::Site& Site() const { return this->cluster.Settings().site; }
  Runtime& Loop() { return this->runtime; }
  void FaultEnded() { this->fault_end = SteadyNow(); }
  // A row that the work touches, for faults of single tables.
  void SetTableOfStep(std::string table) { this->table_of_step = std::move(table); }
  const std::string& TableOfStep() const { return this->table_of_step; }
  void AllowBrokenAnswers() { this->broken_allowed = true; }

  void Expect(bool holds, const std::string& what);
  // Applies every check.
  void Check(Task& task);
  const std::vector<std::string>& Failures() const { return this->failures; }
  // What the work came to, for the report of a failure.
  std::string Summary() const;

 private:
  struct Confirmation {
    bool answered = false;
    Ran ran = Ran::kUnknown;
  };
  struct Patch {
    int64_t version;
    std::string id;
    TimePoint at;
  };

  void RunModel(Task& task, int number, bool stream, const Work& work);
  void RunApp(Task& task, int number, bool confirmation);
  void RunSingle(Task& task, int number);
  void Watch(Task& task, std::string id, std::string address);
  fakes::TestCaller& NewCaller(int number);
  void Done();
  std::map<std::string, int> Runs(Task& task);
  void CheckConfirmations(Task& task);
  void CheckEngines(Task& task);
  void CheckWeights(Task& task);
  void CheckConfiguration(Task& task);
  void CheckTrainer();
  void CheckProcesses(Task& task);

  Runtime& runtime;
  fakes::LocalCluster& cluster;
  HttpClient http;
  HttpClient control;
  uint64_t seed;
  std::vector<std::unique_ptr<fakes::TestCaller>> callers;
  std::vector<std::string> addresses;
  Links links;
  std::unique_ptr<fakes::ChildProcess> trainer;
  int outstanding = 0;
  bool ended = false;
  int64_t sent = 0;
  int64_t whole = 0;
  std::string last_error;
  std::map<std::string, Confirmation> confirmations;
  std::set<std::string> hit;
  std::set<std::string> stopped;
  std::set<std::string> added;
  std::set<std::string> refused_patches;
  std::vector<Patch> patches;
  std::map<std::string, std::map<int64_t, TimePoint>> seen_versions;
  std::map<std::string, int64_t> versions;
  int64_t published = 0;
  bool crashing = false;
  bool broken_allowed = false;
  std::string table_of_step;
  TimePoint fault_end;
  std::vector<std::string> failures;
};

}  // namespace anvilcroft::matrix

#endif  // MATRIX_CELL_RUN_H_
