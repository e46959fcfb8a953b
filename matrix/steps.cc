// The steps, which are the rows of the matrix.

#include "anvilcroft/json.h"
#include "matrix/cell.h"

namespace anvilcroft::matrix {
namespace {

using Names = std::set<std::string>;

Names operator+(Names a, const Names& b) {
  a.insert(b.begin(), b.end());
  return a;
}

const Names kInstanceAndTableFaults = {
    "kill-instance",   "pause-instance",           "table-down",     "table-slow",
    "start-in-outage", "table-connections-silent", "table-partition"};
const Names kEngineFaults = {
    "kill-engine",           "engine-silent",    "engine-slow", "engine-leaving",
    "engine-wrong-id",       "crashing-request", "stale-list",  "target-connections-silent",
    "target-connections-cut"};
const Names kLostAnswerFaults = {"table-lost", "table-lost-late"};
const Names kAppFaults = {"app-loses-answer", "app-silent", "app-killed",
                          "target-connections-silent", "target-connections-cut"};

bool AnyEngineStartedRequest(CellRun& run, Task& task) {
  for (const auto& engine : run.Cluster().ModelEngines()) {
    if (!run.FetchLog(task, engine).value("requests", json::array()).empty()) return true;
  }
  return false;
}

bool AnyAppRanConfirmation(CellRun& run, Task& task) {
  for (const auto& app : run.Cluster().AppEngines()) {
    for (const json& entry : run.FetchLog(task, app).value("runs", json::array())) {
      if (!entry.value("key", "").empty()) return true;
    }
  }
  return false;
}

void SlowDownTable(CellRun& run, Task& task, const std::string& table) {
  run.SetFaults(task, run.Cluster().Platform("table"),
                {{"mode", "slow"}, {"delay_ms", 1000}, {"match_table", table}});
}

// Delays the answers of app engines by 0.5 s, so that a run can be observed before its answer.
void SlowDownApps(CellRun& run, Task& task) { run.SetAppFaults(task, {{"late_answers_ms", 500}}); }

std::function<bool(CellRun&, Task&)> TableIsWritten(const std::string& table) {
  return [table](CellRun& run, Task& task) { return run.TableHasWrite(task, table); };
}

std::function<bool(CellRun&, Task&)> ClaimHasState(const std::string& state) {
  return [state](CellRun& run, Task& task) {
    return run.TableHasWrite(task, "claims",
                             [&](const json& value) { return value.value("state", "") == state; });
  };
}

Workload ModelRequests(int whole, int streams) {
  Workload work;
  work.whole = whole;
  work.streams = streams;
  return work;
}

// Takes well over the 5 s after which a leaving target must not get new requests.
Workload LongModelRequests() {
  Workload work = ModelRequests(8, 8);
  work.rounds = 8;
  return work;
}

Workload Confirmations() {
  Workload work;
  work.confirmations = 6;
  work.single_confirmations = 6;
  return work;
}

Workload MixedRequests() {
  Workload work = Confirmations();
  work.whole = 4;
  work.streams = 4;
  work.lookups = 2;
  return work;
}

Workload TrainerSamples(int tokens) {
  Workload work;
  work.trainer_tokens = tokens;
  return work;
}

void SpawnSecondPatch(CellRun& run, Task& task) {
  (void)task;
  run.Loop().Spawn([&run](Task& patching) {
    run.SubmitPatch(patching, 1, 1, "second",
                    {{"deployments",
                      {{run.Site().deployment,
                        {{"services", {{run.Site().model_service, {{"max_in_flight", 96}}}}}}}}}});
  });
}

std::vector<Step> MakeSteps() {
  const Names model = kInstanceAndTableFaults + kEngineFaults;
  const Names confirm = kInstanceAndTableFaults + kLostAnswerFaults + kAppFaults;
  const Names samples = kInstanceAndTableFaults + kEngineFaults + kLostAnswerFaults +
                        Names{"judge-down", "swap-failing"};
  std::vector<Step> steps = {
      {"model-whole-running", ModelRequests(12, 0), "", nullptr, AnyEngineStartedRequest,
       model + Names{"racing-patches"}},
      {"model-stream-running", ModelRequests(0, 12), "", nullptr, AnyEngineStartedRequest, model},
      {"confirmation-claim-held", Confirmations(), "claims",
       [](CellRun& run, Task& task) {
         SlowDownApps(run, task);
         SlowDownTable(run, task, "claims");
       },
       // The table service delays the claim by 1 s; until then no log shows which instance sent it.
       [](CellRun&, Task& task) {
         SleepUntil(task, SteadyNow() + milliseconds(300));
         return true;
       },
       confirm},
      {"confirmation-claimed", Confirmations(), "claims", SlowDownApps, ClaimHasState("claimed"),
       confirm},
      {"confirmation-ran", Confirmations(), "claims", SlowDownApps, AnyAppRanConfirmation, confirm},
      {"confirmation-record-held", Confirmations(), "claims", SlowDownApps,
       [](CellRun& run, Task& task) {
         if (!AnyAppRanConfirmation(run, task)) return false;
         SlowDownTable(run, task, "claims");
         SleepUntil(task, SteadyNow() + milliseconds(600));
         return true;
       },
       confirm},
      {"confirmation-recorded", Confirmations(), "claims", SlowDownApps, ClaimHasState("done"),
       confirm},
      {"trainer-submitted", TrainerSamples(120), "groups", nullptr, TableIsWritten("groups"),
       samples},
      {"trainer-producing", TrainerSamples(120), "samples", nullptr, AnyEngineStartedRequest,
       samples},
      {"trainer-judging", TrainerSamples(120), "samples",
       [](CellRun& run, Task& task) {
         run.SetFaults(task, run.Cluster().Platform("judge"), {{"late_answers_ms", 300}});
       },
       [](CellRun& run, Task& task) {
         return !run.FetchLog(task, run.Cluster().Platform("judge"))
                     .value("judged", json::array())
                     .empty();
       },
       samples},
      {"trainer-completed", TrainerSamples(120), "ready", nullptr, TableIsWritten("ready"),
       samples},
      {"trainer-taken", TrainerSamples(120), "takes", nullptr, TableIsWritten("takes"), samples},
      {"trainer-large-output",
       TrainerSamples(5000),
       "samples",
       nullptr,
       [](CellRun& run, Task& task) {
         return run.FetchLog(task, run.Cluster().Platform("objects")).value("puts", 0) > 0;
       },
       {"objects-down", "kill-instance", "table-down"}},
      {"weight-swap", ModelRequests(6, 6), "owners",
       [](CellRun& run, Task& task) { run.PublishWeights(task, 2); },
       [](CellRun& run, Task& task) {
         for (const auto& engine : run.Cluster().ModelEngines()) {
           const json state = run.GetJson(task, engine.address, "/v1/state");
           if (state.is_object() && state.value("swapping", false)) return true;
         }
         return false;
       },
       kInstanceAndTableFaults + kLostAnswerFaults +
           Names{"kill-engine", "engine-silent", "engine-slow", "swap-failing"}},
      {"patch-held", ModelRequests(4, 4), "config_log",
       [](CellRun& run, Task& task) {
         SlowDownTable(run, task, "config_log");
         SpawnSecondPatch(run, task);
       },
       [](CellRun&, Task& task) {
         SleepUntil(task, SteadyNow() + milliseconds(300));
         return true;
       },
       kInstanceAndTableFaults + kLostAnswerFaults + Names{"racing-patches"}},
      {"patch-accepted", ModelRequests(4, 4), "config_log", SpawnSecondPatch,
       [](CellRun& run, Task& task) {
         return run.TableHasWrite(task, "config_log", [](const json& value) {
           return value.value("patch_id", "") == "second";
         });
       },
       kInstanceAndTableFaults + kLostAnswerFaults + Names{"racing-patches"}},
      {"shutdown-leaving", MixedRequests(), "roster", SlowDownApps,
       [](CellRun& run, Task& task) {
         if (!AnyEngineStartedRequest(run, task)) return false;
         run.StopGracefully(run.Cluster().Instances()[3]);
         return run.WaitFor(task, seconds(5), [&] {
           return run.TableHasWrite(task, "roster", [](const json& value) {
             return DumpJson(value).find("leaving") != std::string::npos;
           });
         });
       },
       kInstanceAndTableFaults + kEngineFaults + kLostAnswerFaults + kAppFaults},
      {"target-listed-leaving", LongModelRequests(), "", nullptr,
       [](CellRun& run, Task& task) {
         if (!AnyEngineStartedRequest(run, task)) return false;
         const auto& engine = run.PickEngine(task);
         run.SetListedState(task, engine, "leaving");
         run.CheckNoNewRequests(engine);
         return true;
       },
       kInstanceAndTableFaults +
           Names{"kill-engine", "engine-silent", "engine-slow", "crashing-request"}},
      {"target-drained", LongModelRequests(), "", nullptr,
       [](CellRun& run, Task& task) {
         if (!AnyEngineStartedRequest(run, task)) return false;
         const auto& engine = run.PickEngine(task);
         run.SubmitPatch(task, 1, 1, "drain", {{"drained_targets", {{engine.id, true}}}});
         run.CheckNoNewRequests(engine);
         return true;
       },
       kInstanceAndTableFaults +
           Names{"kill-engine", "engine-silent", "racing-patches", "stale-list"}},
  };
  for (Step& step : steps) {
    if (step.name == "trainer-large-output") step.tokens_per_second = 4000;
  }
  return steps;
}

}  // namespace

const std::vector<Step>& Steps() {
  static const std::vector<Step> steps = MakeSteps();
  return steps;
}

}  // namespace anvilcroft::matrix
