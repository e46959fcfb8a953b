// The faults, which are the columns of the matrix.

#include <csignal>

#include "matrix/cell.h"

namespace anvilcroft::matrix {
namespace {

constexpr Duration kOutageDuration = seconds(4);
// Longer than the lease of LocalCluster (6 s), so that the lease of a paused instance expires.
constexpr Duration kPauseDuration = seconds(9);

// A fault of a fake of the platform (LocalCluster::Platform).
Fault PlatformFault(const std::string& name, const std::string& part, const json& faults) {
  const auto end = [part](CellRun& run, Task& task) {
    run.SetFaults(task, run.Cluster().Platform(part), {{"mode", "up"}, {"match_table", ""}});
  };
  const auto begin = [part, faults, end](CellRun& run, Task& task) -> Action {
    run.SetFaults(task, run.Cluster().Platform(part), faults);
    return end;
  };
  return {name, begin, kOutageDuration};
}

// The table service applies up to 4 transactions on the step's table without answering them, each
// after `delay_apply_ms`.
Fault LostAnswersFault(const std::string& name, int delay_apply_ms) {
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
  return {name, begin, kOutageDuration};
}

// A fault of the busiest engine.
Fault EngineFault(const std::string& name, const json& faults) {
  const auto begin = [faults](CellRun& run, Task& task) -> Action {
    auto& engine = run.PickEngine(task);
    run.SetFaults(task, engine, faults);
    return [&engine](CellRun& ending, Task& inner) {
      ending.SetFaults(inner, engine, {{"mode", "up"}, {"factor", 1}});
    };
  };
  return {name, begin, kOutageDuration};
}

// A fault of all app engines or of all model engines, without an action that ends it.
Fault AllTargetsFault(const std::string& name, bool apps, const json& faults) {
  const auto begin = [apps, faults](CellRun& run, Task& task) -> Action {
    if (apps) run.SetAppFaults(task, faults);
    for (auto& engine : run.Cluster().ModelEngines()) {
      if (!apps && engine.process->Running()) run.SetFaults(task, engine, faults);
    }
    return nullptr;
  };
  return {name, begin, seconds(1)};
}

// A fault of the link of the table service (`id` is "table") or of all targets (`id` is empty).
Fault LinkFault(const std::string& name, const std::string& id, const std::string& mode,
                Duration duration) {
  const auto begin = [id, mode](CellRun& run, Task& task) -> Action {
    run.SetLinkFaults(task, id, {{"mode", mode}});
    return [id](CellRun& ending, Task& inner) {
      ending.SetLinkFaults(inner, id, {{"mode", "up"}});
    };
  };
  return {name, begin, duration, true};
}

Action KillInstance(CellRun& run, Task& task) {
  run.AllowCutOffAnswers();
  run.PickInstance(task).process->Signal(SIGKILL);
  return nullptr;
}

Action PauseInstance(CellRun& run, Task& task) {
  // LocalCluster may move its nodes when an instance is added, but not the process objects.
  auto* process = run.PickInstance(task).process.get();
  process->Signal(SIGSTOP);
  return [process](CellRun&, Task&) { process->Signal(SIGCONT); };
}

Action KillEngine(CellRun& run, Task& task) {
  auto& engine = run.PickEngine(task);
  engine.process->Signal(SIGKILL);
  return [&engine](CellRun& ending, Task& inner) { ending.SetListedState(inner, engine, "gone"); };
}

Action LeaveEngine(CellRun& run, Task& task) {
  auto& engine = run.PickEngine(task);
  run.SetListedState(task, engine, "leaving");
  run.CheckNoNewRequests(engine);
  return nullptr;
}

// Submits four patches on the same version, each first to a different instance.
Action RacePatches(CellRun& run, Task& task) {
  const json config = run.GetJson(task, run.Cluster().Instances()[0].address, "/v1/config");
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

// Kills an engine while the instance list is unavailable, so that the engine stays listed.
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
      {"pause-instance", PauseInstance, kPauseDuration},
      {"kill-engine", KillEngine, seconds(2)},
      EngineFault("engine-silent", {{"mode", "silent"}}),
      EngineFault("engine-slow", {{"mode", "slow"}, {"delay_ms", 300}, {"factor", 10}}),
      {"engine-leaving", LeaveEngine, seconds(1)},
      AllTargetsFault("engine-wrong-id", false, {{"wrong_request_id", 1}}),
      {"crashing-request", CrashingRequest, seconds(1)},
      PlatformFault("table-down", "table", {{"mode", "down"}, {"match_table", ""}}),
      PlatformFault("table-slow", "table",
                    {{"mode", "slow"}, {"delay_ms", 400}, {"match_table", ""}}),
      LostAnswersFault("table-lost", 0),
      LostAnswersFault("table-lost-late", 1500),
      PlatformFault("objects-down", "objects", {{"mode", "down"}}),
      PlatformFault("judge-down", "judge", {{"mode", "down"}}),
      AllTargetsFault("swap-failing", false, {{"fail_swaps", 2}}),
      {"racing-patches", RacePatches, seconds(1)},
      {"stale-list", StaleList, kOutageDuration},
      AllTargetsFault("app-loses-answer", true, {{"lose_answers", 1}}),
      AllTargetsFault("app-silent", true, {{"silent_after_run", 1}}),
      {"app-killed", KillApp, seconds(1)},
      {"start-in-outage", StartInOutage, kOutageDuration},
      LinkFault("table-connections-silent", "table", "silent", kOutageDuration),
      LinkFault("table-partition", "table", "silent_all", kOutageDuration),
      LinkFault("target-connections-silent", "", "silent", kOutageDuration),
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
