#ifndef ANVILCROFT_WEIGHT_CONTROL_H_
#define ANVILCROFT_WEIGHT_CONTROL_H_

// Plans the loads of the weight versions that trainers have requested, and orders the model engines
// to load them.
//
// Every order carries the lease's fencing token, the id of the engine and the number of orders that
// the engine has accepted since its start. An engine thereby refuses an order for another engine or
// from a former lease holder, and one that arrives after another order or, unless it was the first
// since the start, after a restart.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/batch_context.h"
#include "anvilcroft/weight_plan.h"

namespace anvilcroft {

class WeightControl {
 public:
  // Share of the engines of a service that can load at the same time without slowing each other
  // down, and the minimum number; the users' engines are specified with 2 of 8, 2 of 9 and 7 of 36.
  static constexpr double kParallelShare = 0.2;
  static constexpr int kMinParallel = 2;

  explicit WeightControl(BatchContext& context) : context(context) {}

  // Plans loads and sends the orders; sends none without a lease that allows orders. `waiting`:
  // number of items that wait for an engine, by model.
  void Plan(const std::map<std::string, int>& waiting, TimePoint now);

  // The models whose new versions `engine` loads.
  const std::set<std::string>& AssignedModels(const std::string& engine) const;

 private:
  // Distributes the models of each service over its engines.
  void AssignModels();
  // Expected tokens of the largest open job of `model`, else of the last one; 0: no job so far.
  double WorkOfLastStep(const std::string& model);
  void SendOrder(Task& task, const PlannedLoad& load);
  // Reads an engine's report and updates its tracked state. Returns whether the engine answered and
  // is idle.
  bool QueryEngine(Task& task, const TargetEntry& entry);

  BatchContext& context;
  std::map<std::string, std::set<std::string>> assignments;  // models by engine
  std::map<std::string, double> last_step_work;              // expected tokens, by model
  // Fencing token that an engine refused because it has seen a higher one; no order carries it
  // again.
  int64_t refused_fencing = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_WEIGHT_CONTROL_H_
