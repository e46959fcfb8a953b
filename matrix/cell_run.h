#ifndef MATRIX_CELL_RUN_H_
#define MATRIX_CELL_RUN_H_

// The run of one cell of the fault matrix: a site, its callers and trainer, and their observations.
//
// The checks use the logs of the fakes and what callers and the trainer received.

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

// The load on a site: numbers of callers of each kind, and the size of their requests.
struct Workload {
  int whole = 0;                 // model requests that are answered in one response
  int streams = 0;               // model requests that are answered as a stream
  int lookups = 0;               // repeatable operations of an app engine
  int confirmations = 0;         // retried by the caller until the deadline
  int single_confirmations = 0;  // sent once, so that an answer "ran": "no" is final for the key
  int64_t tokens = 150;          // tokens of a model request
  int rounds = 4;                // sequential requests of each model caller
  int trainer_tokens = 0;        // tokens of a sample; 0: no trainer
};

class CellRun {
 public:
  using Node = fakes::LocalCluster::Node;

  CellRun(Runtime& runtime, fakes::LocalCluster& cluster, uint64_t seed);

  // Creates the deployment and waits until every instance is ready and lists every target.
  void Prepare(Task& task);
  void StartWork(const Workload& work);
  // Waits until all requests and the trainer have finished, for at most 100 s.
  void FinishWork(Task& task);

  // Sends a request of the harness, without a body if `body` is null.
  Result<HttpResponse> Call(Task& task, const std::string& address, const std::string& method,
                            const std::string& target, const json& body, Duration limit);
  // Returns the JSON body of a GET, or null if the call failed or its status was not 200.
  json GetJson(Task& task, const std::string& address, const std::string& target);
  // Returns the log of a fake, or an empty object if it could not be read.
  json FetchLog(Task& task, const Node& node, const std::string& query = "");
  // Sets the faults of a fake. The cell fails if the fake does not accept them.
  void SetFaults(Task& task, const Node& node, const json& faults);
  // Sets the faults of all app engines that no earlier fault has affected.
  void SetAppFaults(Task& task, const json& faults);
  // Sets the faults of the link in front of `id` or, if `id` is empty, of the links of all targets.
  void SetLinkFaults(Task& task, const std::string& id, const json& faults);
  // Polls `holds` until it returns true. Returns false after `limit`.
  bool WaitFor(Task& task, Duration limit, const std::function<bool()>& holds);
  // Whether the table service has logged a write to `table` that `wanted` accepts (null: any
  // write).
  bool TableHasWrite(Task& task, const std::string& table,
                     const std::function<bool(const json& value)>& wanted = nullptr);

  // Submits a patch on version `base` and retries it with the same id until it is accepted or
  // refused, for at most 25 s.
  void SubmitPatch(Task& task, std::size_t instance, int64_t base, const std::string& id,
                   const json& patch);
  // Publishes weights `version`, retrying at the next instance for at most 25 s.
  void PublishWeights(Task& task, int64_t version);
  // Sends a request that crashes its targets; the caller retries it until it is finally refused.
  void StartCrashingRequest();
  // Writes the target into the instance list with `state`.
  void SetListedState(Task& task, const Node& node, const std::string& state);
  // Starts a check that fails the cell if a request starts on `node` more than 5 s from now.
  void CheckNoNewRequests(const Node& node);

  // Each picks a node that no earlier fault has affected and marks it as affected: an instance
  // (preferably the one that the last write to claims or, without one, to owners names), the
  // busiest model engine, or an app engine.
  Node& PickInstance(Task& task);
  Node& PickEngine(Task& task);
  Node& PickApp();
  // Sends SIGTERM; the instance must drain and exit with 0 by the end of the cell.
  void StopGracefully(Node& node);
  // Starts an instance; it must be ready by the end of the cell.
  void AddInstance();

  void SetLinks(Links started) { this->links = std::move(started); }

  fakes::LocalCluster& Cluster() { return this->cluster; }
  const fakes::Site& Site() const { return this->cluster.Settings().site; }
  Runtime& Loop() { return this->runtime; }
  void RecordFaultEnd() { this->fault_end = SteadyNow(); }
  // The table that the step writes, for faults that apply to a single table.
  void SetTableOfStep(std::string table) { this->table_of_step = std::move(table); }
  const std::string& TableOfStep() const { return this->table_of_step; }
  // For faults that break connections of callers: accepts answers that are cut off, and any exit
  // code of a stopped instance.
  void AllowCutOffAnswers() { this->cut_off_answers_allowed = true; }

  // Records `failure` if `holds` is false. The prefix "harness: " marks a failure of the test
  // setup, not of the system under test.
  void Expect(bool holds, const std::string& failure);
  // Runs all checks and ends the run.
  void Check(Task& task);
  const std::vector<std::string>& Failures() const { return this->failures; }
  // Counts of requests and their outcomes, for the report.
  std::string Summary() const;

 private:
  struct Confirmation {
    bool answered = false;
    Ran ran = Ran::kUnknown;
  };
  struct Patch {
    int64_t version;
    std::string id;
    TimePoint accepted_at;
  };

  void RunModelRequests(Task& task, int number, bool stream, const Workload& work);
  void RunAppRequests(Task& task, int number, bool confirmation);
  void RunSingleConfirmations(Task& task, int number);
  void WatchConfigVersion(Task& task, std::string id, std::string address);
  fakes::TestCaller& NewCaller(int number);
  void MarkWorkDone();
  std::map<std::string, int> CountRuns(Task& task);
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
  bool finished = false;
  int64_t sent = 0;
  int64_t answered = 0;
  std::string last_error;
  std::map<std::string, Confirmation> confirmations;
  std::set<std::string> faulted;  // ids of nodes that a fault has affected
  std::set<std::string> stopped;  // ids of instances that got SIGTERM
  std::set<std::string> added;    // ids of instances that AddInstance started
  std::set<std::string> refused_patches;
  std::vector<Patch> patches;
  // By instance: when each configuration version was first seen, and the highest one.
  std::map<std::string, std::map<int64_t, TimePoint>> seen_versions;
  std::map<std::string, int64_t> versions;
  int64_t published = 0;
  bool crashing = false;
  bool cut_off_answers_allowed = false;
  std::string table_of_step;
  TimePoint fault_end;
  std::vector<std::string> failures;
};

}  // namespace anvilcroft::matrix

#endif  // MATRIX_CELL_RUN_H_
