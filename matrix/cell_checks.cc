// The checks of a cell. They must hold for every step and every fault.

#include <algorithm>

#include "matrix/cell_run.h"

namespace anvilcroft::matrix {
namespace {

// Waits this long for late runs of requests that were refused as not run to appear in a log.
constexpr Duration kLateRunWait = seconds(3);
constexpr Duration kPatchAppliedLimit = seconds(5);
constexpr Duration kRecoveryLimit = seconds(20);
constexpr int kCrashExitCode = 70;
constexpr int kMaxCrashedTargets = 2;

}  // namespace

// Counts the runs of each key in the logs of all app engines. The log of a killed app engine is
// lost, so its keys may be missing.
std::map<std::string, int> CellRun::CountRuns(Task& task) {
  std::map<std::string, int> runs;
  for (Node& app : this->cluster.AppEngines()) {
    if (!app.process->Running()) continue;
    const json log = this->FetchLog(task, app);
    this->Expect(log.contains("runs"), "harness: the log of " + app.id + " could not be read");
    for (const json& run : log.value("runs", json::array())) {
      const std::string key = run.value("key", "");
      if (!key.empty()) ++runs[key];
    }
  }
  return runs;
}

void CellRun::CheckConfirmations(Task& task) {
  const auto& apps = this->cluster.AppEngines();
  const bool all_logs =
      std::all_of(apps.begin(), apps.end(), [](const Node& app) { return app.process->Running(); });
  const auto check = [&](const std::string& when) {
    const auto runs = this->CountRuns(task);
    for (const auto& [key, count] : runs) {
      this->Expect(count <= 1,
                   key + " ran " + std::to_string(count) + " times, expected at most once" + when);
    }
    for (const auto& [key, outcome] : this->confirmations) {
      const auto found = runs.find(key);
      const int count = found == runs.end() ? 0 : found->second;
      if (outcome.answered && all_logs) {
        this->Expect(count == 1,
                     key + " was answered, but ran " + std::to_string(count) + " times" + when);
      }
      if (outcome.ran == Ran::kNo) {
        this->Expect(count == 0, key + " was refused as not run, but ran" + when);
      }
    }
  };
  if (this->confirmations.empty()) return;
  check("");
  SleepUntil(task, SteadyNow() + kLateRunWait);
  check(" (3 s later)");
}

void CellRun::CheckEngines(Task& task) {
  int crashed = 0;
  auto& engines = this->cluster.ModelEngines();
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (!engines[i].process->Running()) {
      if (*engines[i].process->Wait(0) == kCrashExitCode) ++crashed;
      continue;
    }
    if (i % 4 == 3) continue;  // LocalCluster lets every fourth engine ignore fencing tokens
    uint64_t last = 0;
    const json log = this->FetchLog(task, engines[i]);
    for (const json& order : log.value("orders", json::array())) {
      if (order["outcome"] == "old_fencing") continue;
      const uint64_t token = order.value("fencing", uint64_t{0});
      this->Expect(token >= last, engines[i].id + " accepted fencing token " +
                                      std::to_string(token) + " after " + std::to_string(last));
      last = std::max(last, token);
    }
  }
  this->Expect(crashed <= kMaxCrashedTargets,
               "one request crashed " + std::to_string(crashed) + " targets");
}

void CellRun::CheckWeights(Task& task) {
  if (this->published == 0) return;
  for (Node& engine : this->cluster.ModelEngines()) {
    if (!engine.process->Running()) continue;
    int64_t version = 0;
    const bool loaded = this->WaitFor(task, kRecoveryLimit, [&] {
      const json state = this->GetJson(task, engine.address, "/v1/state");
      if (state.is_object()) version = state.value("weight_version", int64_t{0});
      return version >= this->published;
    });
    this->Expect(loaded, engine.id + " still has weight version " + std::to_string(version) +
                             " 20 s after the workload ended");
  }
}

void CellRun::CheckConfiguration(Task& task) {
  std::map<int64_t, std::string> rows;
  std::set<std::string> ids;
  const json log = this->FetchLog(task, this->cluster.Platform("table"), "?table=config_log");
  for (const json& entry : log.value("transactions", json::array())) {
    for (const json& write : entry["writes"]) {
      if (write["table"] != "config_log") continue;
      const json value = write.value("value", json::object());
      const std::string id = value.value("patch_id", "");
      const int64_t version = value.value("version", int64_t{0});
      this->Expect(rows.emplace(version, id).second, "config_log has two rows for one version");
      this->Expect(ids.insert(id).second, "patch " + id + " was applied twice");
    }
  }
  for (const std::string& id : this->refused_patches) {
    this->Expect(ids.count(id) == 0, "patch " + id + " was refused, but applied");
  }
  for (const Patch& patch : this->patches) {
    this->Expect(rows[patch.version] == patch.id,
                 "accepted patch " + patch.id + " is not in config_log under its version");
    const TimePoint limit = std::max(patch.accepted_at, this->fault_end) + kPatchAppliedLimit;
    for (Node& node : this->cluster.Instances()) {
      if (!node.process->Running() || this->stopped.count(node.id) != 0) continue;
      const auto applied = [&] {
        const auto& seen = this->seen_versions[node.id];
        const auto first = seen.lower_bound(patch.version);
        return first != seen.end() && first->second <= limit;
      };
      while (!applied() && SteadyNow() < limit) SleepUntil(task, SteadyNow() + milliseconds(50));
      this->Expect(applied(),
                   "patch " + patch.id + " is not applied at " + node.id + " within 5 s");
    }
  }
}

void CellRun::CheckTrainer() {
  if (!this->trainer) return;
  const auto code = this->trainer->Wait(0);
  std::string summary;
  while (const auto line = this->trainer->ReadLine(100)) {
    if (line->rfind('{', 0) == 0) summary = *line;
  }
  this->Expect(code && *code == 0, "the trainer reported a failed run: " + summary);
}

void CellRun::CheckProcesses(Task& task) {
  for (Node& node : this->cluster.Instances()) {
    if (this->stopped.count(node.id) != 0) {
      this->WaitFor(task, kRecoveryLimit, [&] { return !node.process->Running(); });
      const auto code = node.process->Wait(0);
      this->Expect(code && (*code == 0 || this->cut_off_answers_allowed),
                   node.id + " did not drain and exit with 0");
    } else if (this->added.count(node.id) != 0) {
      const bool ready = this->WaitFor(task, kRecoveryLimit, [&] {
        const auto answer = this->Call(task, node.address, "GET", "/readyz", nullptr, seconds(2));
        return answer && answer->Status() == 200;
      });
      this->Expect(
          ready,
          node.id + ", started during the outage, is not ready 20 s after the workload ended");
    } else if (this->faulted.count(node.id) == 0) {
      this->Expect(node.process->Running(), node.id + " exited without a fault or a stop");
    }
  }
  if (this->stopped.empty() || this->cut_off_answers_allowed) return;
  int64_t broken = 0;
  for (const auto& caller : this->callers) broken += caller->BrokenAnswers();
  this->Expect(broken == 0, std::to_string(broken) + " answers were cut off");
}

void CellRun::Check(Task& task) {
  this->CheckTrainer();
  this->CheckConfirmations(task);
  this->CheckWeights(task);
  this->CheckEngines(task);
  this->CheckConfiguration(task);
  this->CheckProcesses(task);
  this->finished = true;
}

}  // namespace anvilcroft::matrix
