#include "anvilcroft/weight_plan.h"

#include <algorithm>
#include <tuple>

namespace anvilcroft {
namespace {

// Number of running items of `model` on `engine`.
int RunningOf(const LoadableEngine& engine, const std::string& model) {
  const auto found = engine.running.find(model);
  return found == engine.running.end() ? 0 : found->second;
}

}  // namespace

std::vector<PlannedLoad> PlanLoads(const std::vector<LoadableEngine>& engines,
                                   const std::vector<ModelDemand>& demands, int parallel) {
  int free_loads = parallel;
  for (const LoadableEngine& engine : engines) free_loads -= engine.busy ? 1 : 0;

  // Sorted by urgency: engines that the next step cannot use first, then those with the fewest
  // running items, then those that are the most versions behind.
  struct Candidate {
    bool urgent = false;
    int64_t versions_behind = 0;
    int running = 0;
    PlannedLoad load;
  };
  std::vector<Candidate> candidates;
  for (const ModelDemand& demand : demands) {
    for (const LoadableEngine& engine : engines) {
      if (engine.busy || engine.assigned_models.count(demand.model) == 0) continue;
      const auto found = engine.versions.find(demand.model);
      if (found == engine.versions.end() || found->second >= demand.requested_version) continue;
      Candidate candidate;
      candidate.urgent = found->second < demand.usable_version;
      candidate.versions_behind = demand.requested_version - found->second;
      candidate.running = RunningOf(engine, demand.model);
      candidate.load = PlannedLoad{engine.id, demand.model, demand.requested_version};
      if (!candidate.urgent && (candidate.running > 0 || demand.waiting > 0)) continue;
      candidates.push_back(std::move(candidate));
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::make_tuple(!a.urgent, a.running, -a.versions_behind) <
           std::make_tuple(!b.urgent, b.running, -b.versions_behind);
  });
  std::vector<PlannedLoad> loads;
  std::set<std::string> planned_engines;
  for (const Candidate& candidate : candidates) {
    if (free_loads <= 0) break;
    if (!planned_engines.insert(candidate.load.engine).second) continue;
    loads.push_back(candidate.load);
    --free_loads;
  }
  return loads;
}

}  // namespace anvilcroft
