#ifndef ANVILCROFT_WEIGHT_PLAN_H_
#define ANVILCROFT_WEIGHT_PLAN_H_

// Decides which model engines load which weight version now.
//
// Load pattern: a trainer names a new version every few seconds, and its next step may run on that
// version and the one before. Only a few engines can load at once without slowing each other, and
// an engine that loads serves nothing for that model. Engines that the next step cannot use load
// at once; the others load while they have no work, so that none of them has to when the next
// version is named.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilcroft {

struct LoadableEngine {
  std::string id;
  std::map<std::string, int64_t> versions;  // by model
  std::map<std::string, int> running;       // own running items by model
  bool busy = false;                        // an order is in progress or may be
  std::set<std::string> assigned_models;    // models that the engine is kept up to date for
};

struct ModelDemand {
  std::string model;
  int64_t named_version = 0;
  // Lowest version that the next step can use.
  int64_t usable_version = 0;
  int waiting = 0;  // items that wait for an engine
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

// At most `parallel` engines load at a time, those that are busy counted.
std::vector<PlannedLoad> PlanLoads(const std::vector<LoadableEngine>& engines,
                                   const std::vector<ModelDemand>& demands, int parallel);

}  // namespace anvilcroft

#endif  // ANVILCROFT_WEIGHT_PLAN_H_
