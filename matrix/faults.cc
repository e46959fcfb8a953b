// The columns of the matrix.

#include <csignal>

#include "matrix/cell.h"

namespace anvilcroft::matrix {
namespace {

constexpr Duration kOutage = seconds(4);
// Longer than the lease of LocalCluster, 6 s.
constexpr Duration kPause = seconds(9);

Fault PlatformFault(const std::string& name, const std::string& part, const json& faults) {
  const auto end = [part](CellRun& run, Task& task) {
    run.SetFaults(task, run.Cluster().Platform(part), {{"mode", "up"}, {"match_table", ""}});
  };
  const auto begin = [part, faults, end](CellRun& run, Task& task) -> Action {
    run.SetFaults(task, run.Cluster().Platform(part), faults);
    return end;
  };
  return {name, begin, kOutage};
}

Fault LostAnswers(const std::string& name, int delay_apply_ms) {
  const auto begin = [delay_apply_ms](CellRun& run, Task& task) -> Action {
    run.SetFaults(task, run.Cluster().Platform("table"),
                  {{"mode", "up"},
                   {"match_table", run.TableOfStep()},
                   {"lose_answers", 4},
                   {"delay_apply_ms", delay_apply_ms}});
    return [](CellRun& ending, Task& inner) {
      ending.SetFaults(inner, ending.Cluster().Platform("table"),
                       {{"match_table", ""}, {"lose_answers", 0}, {"delay_apply_ms", 0}});
    };
  };
  return {name, begin, kOutage};
}

Fault EngineFault(const std::string& name, const json& faults) {
  const auto begin = [faults](CellRun& run, Task& task) -> Action {
    auto& engine = run.PickEngine(task);
    run.SetFaults(task, engine, faults);
    return [&engine](CellRun& ending, Task& inner) {
      ending.SetFaults(inner, engine, {{"mode", "up"}, {"factor", 1}});
    };
  };
  return {name, begin, kOutage};
}

Fault AllTargets(const std::string& name, bool apps, const json& faults) {
  const auto begin = [apps, faults](CellRun& run, Task& task) -> Action {
    if (apps) run.SetAppFaults(task, faults);
    for (auto& engine : run.Cluster().ModelEngines()) {
      if (!apps && engine.process->Running()) run.SetFaults(task, engine, faults);
    }
    return nullptr;
  };
  return {name, begin, seconds(1)};
}

// Faults of the link of the table service (`id` "table") or of all targets (`id` empty).
Fault LinkFault(const std::string& name, const std::string& id, const std::string& mode,
                Duration lasts) {
  const auto begin = [id, mode](CellRun& run, Task& task) -> Action {
    run.SetLinkFaults(task, id, {{"mode", mode}});
    return [id](CellRun& ending, Task& inner) {
      ending.SetLinkFaults(inner, id, {{"mode", "up"}});
    };
  };
  return {name, begin, lasts, true};
}

Action KillInstance(CellRun& run, Task& task) {
  run.AllowBrokenAnswers();
  run.PickInstance(task).process->Signal(SIGKILL);
  return nullptr;
}

Action PauseInstance(CellRun& run, Task& task) {
  // LocalCluster may move its nodes when an instance is added; the process stays where it is.
  auto* process = run.PickInstance(task).process.get();
  process->Signal(SIGSTOP);
  return [process](CellRun&, Task&) { process->Signal(SIGCONT); };
}

Action KillEngine(CellRun& run, Task& task) {
  auto& engine = run.PickEngine(task);
  engine.process->Signal(SIGKILL);
  return [&engine](CellRun& ending, Task& inner) { ending.ListTarget(inner, engine, "gone"); };
}

Action LeaveEngine(CellRun& run, Task& task) {
  auto& engine = run.PickEngine(task);
  run.ListTarget(task, engine, "leaving");
  run.WatchLeaving(engine);
  return nullptr;
}

Action RacePatches(CellRun& run, Task& task) {
  const json config = run.Get(task, run.Cluster().Instances()[0].address, "/v1/config");
  const int64_t base = config.is_object() ? config.value("version", int64_t{1}) : 1;
  static int round = 0;
  ++round;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "race-" + std::to_string(round) + "-" + std::to_string(i);
    run.Loop().Spawn([&run, i, base, id](Task& patching) {
      run.SubmitPatch(
          patching, i, base, id,
          {{"deployments",
            {{run.Site().deployment,
              {{"services", {{run.Site().model_service, {{"max_queued", 100 + i}}}}}}}}}});
    });
  }
  return nullptr;
}

Action StaleList(CellRun& run, Task& task) {
  run.SetFaults(task, run.Cluster().Platform("instances"), {{"mode", "down"}});
  run.PickEngine(task).process->Signal(SIGKILL);
  return [](CellRun& ending, Task& inner) {
    ending.SetFaults(inner, ending.Cluster().Platform("instances"), {{"mode", "up"}});
  };
}

Action KillApp(CellRun& run, Task&) {
  run.PickApp().process->Signal(SIGKILL);
  return nullptr;
}

Action StartInOutage(CellRun& run, Task& task) {
  run.SetFaults(task, run.Cluster().Platform("table"), {{"mode", "down"}, {"match_table", ""}});
  run.AddInstance();
  return [](CellRun& ending, Task& inner) {
    ending.SetFaults(inner, ending.Cluster().Platform("table"), {{"mode", "up"}});
  };
}

Action CrashingRequest(CellRun& run, Task&) {
  run.StartCrashingRequest();
  return nullptr;
}

std::vector<Fault> MakeFaults() {
  return {
      {"kill-instance", KillInstance, seconds(1)},
      {"pause-instance", PauseInstance, kPause},
      {"kill-engine", KillEngine, seconds(2)},
      EngineFault("engine-silent", {{"mode", "silent"}}),
      EngineFault("engine-slow", {{"mode", "slow"}, {"delay_ms", 300}, {"factor", 10}}),
      {"engine-leaving", LeaveEngine, seconds(1)},
      AllTargets("engine-wrong-id", false, {{"wrong_request_id", 1}}),
      {"crashing-request", CrashingRequest, seconds(1)},
      PlatformFault("table-down", "table", {{"mode", "down"}, {"match_table", ""}}),
      PlatformFault("table-slow", "table",
                    {{"mode", "slow"}, {"delay_ms", 400}, {"match_table", ""}}),
      LostAnswers("table-lost", 0),
      LostAnswers("table-lost-late", 1500),
      PlatformFault("objects-down", "objects", {{"mode", "down"}}),
      PlatformFault("judge-down", "judge", {{"mode", "down"}}),
      AllTargets("swap-failing", false, {{"fail_swaps", 2}}),
      {"racing-patches", RacePatches, seconds(1)},
      {"stale-list", StaleList, kOutage},
      AllTargets("app-loses-answer", true, {{"lose_answers", 1}}),
      AllTargets("app-silent", true, {{"silent_after_run", 1}}),
      {"app-killed", KillApp, seconds(1)},
      {"start-in-outage", StartInOutage, kOutage},
      LinkFault("table-connections-silent", "table", "silent", kOutage),
      LinkFault("table-partition", "table", "silent_all", kOutage),
      LinkFault("target-connections-silent", "", "silent", kOutage),
      LinkFault("target-connections-cut", "", "cut", seconds(1)),
  };
}

}  // namespace

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults = MakeFaults();
  return faults;
}

std::string ReasonNotApplicable(const Step& step, const Fault& fault) {
  if (step.faults.count(fault.name) != 0) return "";
  const std::string& name = fault.name;
  if (name.rfind("app-", 0) == 0) return "the path calls no app engine";
  if (name == "objects-down") return "the path stores no object";
  if (name == "judge-down") return "the path calls no judge";
  if (name == "swap-failing") return "the path swaps no weights";
  if (name == "racing-patches") return "covered by the patch rows";
  if (name.rfind("table-lost", 0) == 0) return "the path writes no row at this step";
  return step.name.rfind("confirmation", 0) == 0 ? "the path calls no model engine"
                                                 : "covered by another row of the path";
}

}  // namespace anvilcroft::matrix
