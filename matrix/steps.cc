// The rows of the matrix.

#include "anvilcroft/json.h"
#include "matrix/cell.h"

namespace anvilcroft::matrix {
namespace {

using Names = std::set<std::string>;

Names operator+(Names a, const Names& b) {
  a.insert(b.begin(), b.end());
  return a;
}

const Names kCore = {"kill-instance",   "pause-instance",           "table-down",     "table-slow",
                     "start-in-outage", "table-connections-silent", "table-partition"};
const Names kEngine = {
    "kill-engine",           "engine-silent",    "engine-slow", "engine-leaving",
    "engine-wrong-id",       "crashing-request", "stale-list",  "target-connections-silent",
    "target-connections-cut"};
const Names kLost = {"table-lost", "table-lost-late"};
const Names kApp = {"app-loses-answer", "app-silent", "app-killed", "target-connections-silent",
                    "target-connections-cut"};

bool EngineStarted(CellRun& run, Task& task) {
  for (const auto& engine : run.Cluster().ModelEngines()) {
    if (!run.LogOf(task, engine).value("requests", json::array()).empty()) return true;
  }
  return false;
}

bool AppRan(CellRun& run, Task& task) {
  for (const auto& app : run.Cluster().AppEngines()) {
    for (const json& entry : run.LogOf(task, app).value("runs", json::array())) {
      if (!entry.value("key", "").empty()) return true;
    }
  }
  return false;
}

void SlowTable(CellRun& run, Task& task, const std::string& table) {
  run.SetFaults(task, run.Cluster().Platform("table"),
                {{"mode", "slow"}, {"delay_ms", 1000}, {"match_table", table}});
}

// Answers of app engines take half a second, so that a run is seen before its answer.
void SlowApps(CellRun& run, Task& task) { run.SetAppFaults(task, {{"late_answers_ms", 500}}); }

std::function<bool(CellRun&, Task&)> TableWrites(const std::string& table) {
  return [table](CellRun& run, Task& task) { return run.TableShows(task, table); };
}

std::function<bool(CellRun&, Task&)> ClaimIs(const std::string& state) {
  return [state](CellRun& run, Task& task) {
    return run.TableShows(task, "claims",
                          [&](const json& value) { return value.value("state", "") == state; });
  };
}

Work Model(int whole, int streams) {
  Work work;
  work.whole = whole;
  work.streams = streams;
  return work;
}

// Lasts well beyond the 5 s after which a leaving target may get no more work.
Work LongModel() {
  Work work = Model(8, 8);
  work.rounds = 8;
  return work;
}

Work Confirmations() {
  Work work;
  work.confirmations = 6;
  work.single_confirmations = 6;
  return work;
}

Work Mixed() {
  Work work = Confirmations();
  work.whole = 4;
  work.streams = 4;
  work.lookups = 2;
  return work;
}

Work Samples(int tokens) {
  Work work;
  work.trainer_tokens = tokens;
  return work;
}

void PatchNow(CellRun& run, Task& task) {
  (void)task;
  run.Loop().Spawn([&run](Task& patching) {
    run.SubmitPatch(patching, 1, 1, "second",
                    {{"deployments",
                      {{run.Site().deployment,
                        {{"services", {{run.Site().model_service, {{"max_in_flight", 96}}}}}}}}}});
  });
}

std::vector<Step> MakeSteps() {
  const Names model = kCore + kEngine;
  const Names confirm = kCore + kLost + kApp;
  const Names samples = kCore + kEngine + kLost + Names{"judge-down", "swap-failing"};
  std::vector<Step> steps = {
      {"model-whole-running", Model(12, 0), "", nullptr, EngineStarted,
       model + Names{"racing-patches"}},
      {"model-stream-running", Model(0, 12), "", nullptr, EngineStarted, model},
      {"confirmation-claim-held", Confirmations(), "claims",
       [](CellRun& run, Task& task) {
         SlowApps(run, task);
         SlowTable(run, task, "claims");
       },
       // The claim waits in the table service for a second; its holder cannot be seen outside.
       [](CellRun&, Task& task) {
         SleepUntil(task, SteadyNow() + milliseconds(300));
         return true;
       },
       confirm},
      {"confirmation-claimed", Confirmations(), "claims", SlowApps, ClaimIs("claimed"), confirm},
      {"confirmation-ran", Confirmations(), "claims", SlowApps, AppRan, confirm},
      {"confirmation-record-held", Confirmations(), "claims", SlowApps,
       [](CellRun& run, Task& task) {
         if (!AppRan(run, task)) return false;
         SlowTable(run, task, "claims");
         SleepUntil(task, SteadyNow() + milliseconds(600));
         return true;
       },
       confirm},
      {"confirmation-recorded", Confirmations(), "claims", SlowApps, ClaimIs("done"), confirm},
      {"trainer-submitted", Samples(120), "groups", nullptr, TableWrites("groups"), samples},
      {"trainer-producing", Samples(120), "samples", nullptr, EngineStarted, samples},
      {"trainer-judging", Samples(120), "samples",
       [](CellRun& run, Task& task) {
         run.SetFaults(task, run.Cluster().Platform("judge"), {{"late_answers_ms", 300}});
       },
       [](CellRun& run, Task& task) {
         return !run.LogOf(task, run.Cluster().Platform("judge"))
                     .value("judged", json::array())
                     .empty();
       },
       samples},
      {"trainer-completed", Samples(120), "ready", nullptr, TableWrites("ready"), samples},
      {"trainer-taken", Samples(120), "takes", nullptr, TableWrites("takes"), samples},
      {"trainer-large-output",
       Samples(5000),
       "samples",
       nullptr,
       [](CellRun& run, Task& task) {
         return run.LogOf(task, run.Cluster().Platform("objects")).value("puts", 0) > 0;
       },
       {"objects-down", "kill-instance", "table-down"}},
      {"weight-swap", Model(6, 6), "owners", [](CellRun& run, Task& task) { run.Publish(task, 2); },
       [](CellRun& run, Task& task) {
         for (const auto& engine : run.Cluster().ModelEngines()) {
           const json state = run.Get(task, engine.address, "/v1/state");
           if (state.is_object() && state.value("swapping", false)) return true;
         }
         return false;
       },
       kCore + kLost + Names{"kill-engine", "engine-silent", "engine-slow", "swap-failing"}},
      {"patch-held", Model(4, 4), "config_log",
       [](CellRun& run, Task& task) {
         SlowTable(run, task, "config_log");
         PatchNow(run, task);
       },
       [](CellRun&, Task& task) {
         SleepUntil(task, SteadyNow() + milliseconds(300));
         return true;
       },
       kCore + kLost + Names{"racing-patches"}},
      {"patch-accepted", Model(4, 4), "config_log", PatchNow,
       [](CellRun& run, Task& task) {
         return run.TableShows(task, "config_log", [](const json& value) {
           return value.value("patch_id", "") == "second";
         });
       },
       kCore + kLost + Names{"racing-patches"}},
      {"shutdown-leaving", Mixed(), "roster", SlowApps,
       [](CellRun& run, Task& task) {
         if (!EngineStarted(run, task)) return false;
         run.StopGracefully(run.Cluster().Instances()[3]);
         return run.WaitFor(task, seconds(5), [&] {
           return run.TableShows(task, "roster", [](const json& value) {
             return DumpJson(value).find("leaving") != std::string::npos;
           });
         });
       },
       kCore + kEngine + kLost + kApp},
      {"target-listed-leaving", LongModel(), "", nullptr,
       [](CellRun& run, Task& task) {
         if (!EngineStarted(run, task)) return false;
         const auto& engine = run.PickEngine(task);
         run.ListTarget(task, engine, "leaving");
         run.WatchLeaving(engine);
         return true;
       },
       kCore + Names{"kill-engine", "engine-silent", "engine-slow", "crashing-request"}},
      {"target-drained", LongModel(), "", nullptr,
       [](CellRun& run, Task& task) {
         if (!EngineStarted(run, task)) return false;
         const auto& engine = run.PickEngine(task);
         run.SubmitPatch(task, 1, 1, "drain", {{"drained_targets", {{engine.id, true}}}});
         run.WatchLeaving(engine);
         return true;
       },
       kCore + Names{"kill-engine", "engine-silent", "racing-patches", "stale-list"}},
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
