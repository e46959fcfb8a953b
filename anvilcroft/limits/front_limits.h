#ifndef ANVILCROFT_LIMITS_FRONT_LIMITS_H_
#define ANVILCROFT_LIMITS_FRONT_LIMITS_H_

// The limits of a front instance on memory and descriptors, from its settings: one budget of memory
// for all listeners, and a number of connections for each.

#include <cstddef>
#include <map>
#include <memory>

#include "anvilcroft/front_settings.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/limits/memory_budget.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

enum class Listener { kCallers, kDirectory, kReady, kInternal };

class FrontLimits {
 public:
  FrontLimits(const ProcessLimits& limits, Metrics& metrics);

  // Starts the task that returns free memory to the system after bursts, and adapts the pools to
  // the memory that the process takes without any request.
  void Start(Runtime& runtime);
  // Applies changed limits to the budget and to all listeners.
  void Apply(const ProcessLimits& changed);

  // Limits the connections of `server` and exports them. It must outlive this.
  void Register(Listener listener, HttpServer& server);

  const std::shared_ptr<MemoryBudget>& Budget() const { return this->budget; }
  static MemoryPool PoolOf(Listener listener);
  // Reserves memory for the work of a caller's request, for as long as the result exists; null:
  // there is none.
  std::shared_ptr<void> Reserve(std::size_t bytes);

 private:
  void Adapt();

  Metrics& metrics;
  std::shared_ptr<MemoryBudget> budget;
  ProcessLimits limits;
  BaseEstimate base;
  ConnectionLimits connections;
  std::map<Listener, HttpServer*> servers;
};

// Makes the allocator return large blocks to the system as soon as they are freed. Called once,
// before the first large block is allocated.
void ConfigureAllocator();

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIMITS_FRONT_LIMITS_H_
