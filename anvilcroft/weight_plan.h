#ifndef ANVILCROFT_WEIGHT_PLAN_H_
#define ANVILCROFT_WEIGHT_PLAN_H_

// Decides which model engines start to load which weight version.
//
// Load pattern: a trainer requests a new version every few seconds, and its next step may run on
// that version and the one before. Only a few engines can load at the same time without slowing
// each other down, and an engine serves no requests for a model while it loads it. Engines whose
// version the next step cannot use load immediately. The others load while they are idle, so that
// they are still usable when the trainer requests the next version.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilcroft {

struct LoadableEngine {
  std::string id;
  std::map<std::string, int64_t> versions;  // by model
  std::map<std::string, int> running;       // number of this instance's running items, by model
  bool busy = false;                        // a weight order is or may be in progress
  std::set<std::string> assigned_models;    // models whose new versions the engine loads
};

struct ModelDemand {
  std::string model;
  int64_t requested_version = 0;  // newest version that the trainer has requested
  // Lowest version that the next step can use.
  int64_t usable_version = 0;
  int waiting = 0;  // number of items that wait for an engine
};

struct PlannedLoad {
  std::string engine;
  std::string model;
  int64_t version = 0;

  friend bool operator==(const PlannedLoad& a, const PlannedLoad& b) {
    return a.engine == b.engine && a.model == b.model && a.version == b.version;
  }
  friend bool operator!=(const PlannedLoad& a, const PlannedLoad& b) { return !(a == b); }
};

// Returns the loads to start, such that at most `parallel` engines load at a time, including those
// that are busy.
std::vector<PlannedLoad> PlanLoads(const std::vector<LoadableEngine>& engines,
                                   const std::vector<ModelDemand>& demands, int parallel);

}  // namespace anvilcroft

#endif  // ANVILCROFT_WEIGHT_PLAN_H_
