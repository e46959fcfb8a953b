#ifndef ANVILCROFT_WEIGHT_CONTROL_H_
#define ANVILCROFT_WEIGHT_CONTROL_H_

// Brings named weight versions to the model engines: plans the loads and gives the orders.
//
// Every order carries the lease's fencing token, the start of the engine that it is meant for and
// the number of orders that the engine has accepted, so that one that is delivered late, to another
// start or from a former holder does nothing.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/batch_context.h"
#include "anvilcroft/weight_plan.h"

namespace anvilcroft {

class WeightControl {
 public:
  // Share of the engines of a service that load at once without slowing each other, and the least
  // number of them; from the users' sheets (2 of 8, 2 of 9, 7 of 36).
  static constexpr double kParallelShare = 0.2;
  static constexpr int kMinParallel = 2;

  explicit WeightControl(BatchContext& context) : context(context) {}

  // Gives the orders that the plan asks for now. `waiting`: items that wait for an engine, by
  // model.
  void Plan(const std::map<std::string, int>& waiting, TimePoint now);

  // The models that `engine` is kept up to date for.
  const std::set<std::string>& AssignedModels(const std::string& engine) const;

 private:
  void AssignModels();
  // Expected tokens of the last step of `model`; 0: none has been seen.
  double WorkOfLastStep(const std::string& model);
  void Order(Task& task, const PlannedLoad& load);
  // Asks an engine what it has, and takes that over. Returns whether it is idle and answered.
  bool QueryEngine(Task& task, const TargetEntry& entry);

  BatchContext& context;
  std::map<std::string, std::set<std::string>> assignments;  // models by engine
  std::map<std::string, double> work;                        // by model
  int64_t refused_fencing = 0;  // token that an engine has refused for a higher one
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_WEIGHT_CONTROL_H_
