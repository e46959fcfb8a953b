#include "matrix/cell.h"

#include <algorithm>
#include <iostream>

#include "anvilcroft/json.h"

namespace anvilcroft::matrix {
namespace {

constexpr Duration kStepReachedLimit = seconds(15);

template <typename T>
const T* FindByName(const std::vector<T>& items, const std::string& name) {
  const auto found =
      std::find_if(items.begin(), items.end(), [&](const T& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

void InjectFaults(const Cell& cell, CellRun& run, Task& task) {
  std::vector<Action> ends;
  Duration longest{0};
  for (const Fault* fault : cell.faults) {
    ends.push_back(fault->inject(run, task));
    longest = std::max(longest, fault->duration);
    if (cell.simultaneous && fault != cell.faults.back()) continue;
    SleepUntil(task, SteadyNow() + (cell.simultaneous ? longest : fault->duration));
    for (const Action& end : ends) {
      if (end) end(run, task);
    }
    ends.clear();
  }
  run.RecordFaultEnd();
}

}  // namespace

Result<Cell> ParseCell(const std::string& name) {
  Cell cell;
  cell.name = name;
  const std::size_t slash = name.find('/');
  cell.step = FindByName(Steps(), name.substr(0, slash));
  if (slash == std::string::npos || cell.step == nullptr) {
    return Fail(ErrorCode::kInvalidArgument, "unknown step", name);
  }
  cell.simultaneous = name.find(',') == std::string::npos;
  for (std::size_t begin = slash + 1; begin <= name.size();) {
    const std::size_t end = std::min(name.find_first_of("+,", begin), name.size());
    const Fault* fault = FindByName(Faults(), name.substr(begin, end - begin));
    if (fault == nullptr) return Fail(ErrorCode::kInvalidArgument, "unknown fault", name);
    cell.faults.push_back(fault);
    begin = end + 1;
  }
  return cell;
}

std::vector<std::string> SingleCells() {
  std::vector<std::string> cells;
  for (const Step& step : Steps()) {
    for (const Fault& fault : Faults()) {
      if (step.faults.count(fault.name) != 0) cells.push_back(step.name + "/" + fault.name);
    }
  }
  return cells;
}

std::vector<std::string> PairCells(std::size_t count, std::mt19937_64& random) {
  std::set<std::string> cells;
  while (cells.size() < count) {
    const Step& step = Steps()[random() % Steps().size()];
    const std::vector<std::string> names(step.faults.begin(), step.faults.end());
    const std::string& first = names[random() % names.size()];
    const std::string& second = names[random() % names.size()];
    const std::size_t kind = random() % 3;
    if (kind == 0 && first != second) cells.insert(step.name + "/" + first + "+" + second);
    if (kind == 1) cells.insert(step.name + "/" + first + "," + first);
    if (kind == 2 && first != second) cells.insert(step.name + "/" + first + "," + second);
  }
  return std::vector<std::string>(cells.begin(), cells.end());
}

std::vector<std::string> QuickCells() {
  return {"model-whole-running/kill-instance",     "model-stream-running/kill-engine",
          "model-stream-running/engine-silent",    "confirmation-ran/pause-instance",
          "confirmation-claim-held/table-lost",    "confirmation-claimed/app-silent",
          "trainer-completed/table-lost-late",     "weight-swap/swap-failing",
          "patch-accepted/racing-patches",         "shutdown-leaving/table-slow",
          "target-listed-leaving/crashing-request"};
}

int RunCell(const Cell& cell, const fakes::LocalCluster::Options& options, uint64_t seed) {
  fakes::LocalCluster::Options chosen = options;
  chosen.tokens_per_second = cell.step->tokens_per_second;
  // A weight swap of 0.5 s is long enough to be observed while it runs.
  chosen.engine_arguments = {"--swap-seconds", "0.5"};
  const bool behind_links = std::any_of(cell.faults.begin(), cell.faults.end(),
                                        [](const Fault* fault) { return fault->needs_links; });
  if (behind_links) chosen.instances = 0;
  fakes::LocalCluster cluster(chosen);
  auto started = cluster.Start();
  Links links;
  if (started && behind_links) {
    auto made = StartInstancesBehindLinks(cluster, options.instances);
    if (made) links = std::move(*made);
    if (!made) started = tl::unexpected<Error>(made.error());
  }
  Runtime runtime;
  CellRun run(runtime, cluster, seed);
  run.SetLinks(std::move(links));
  run.Expect(started.has_value(), "harness: the site did not start");
  if (started) {
    runtime.OnTerminate([&] {
      run.Expect(false, "harness: the cell was terminated at its time limit");
      runtime.Stop();
    });
    runtime.Spawn([&](Task& task) {
      run.Prepare(task);
      run.SetTableOfStep(cell.step->table);
      if (cell.step->prepare) cell.step->prepare(run, task);
      run.StartWork(cell.step->work);
      const bool reached =
          run.WaitFor(task, kStepReachedLimit, [&] { return cell.step->reached(run, task); });
      run.Expect(reached, "harness: the step was not reached within 15 s");
      InjectFaults(cell, run, task);
      run.FinishWork(task);
      run.Check(task);
      runtime.Stop();
    });
    runtime.Run();
  }
  const json line = {{"name", cell.name},
                     {"passed", run.Failures().empty()},
                     {"failures", run.Failures()},
                     {"summary", run.Summary()}};
  std::cout << DumpJson(line) << std::endl;
  return run.Failures().empty() ? 0 : 1;
}

}  // namespace anvilcroft::matrix
