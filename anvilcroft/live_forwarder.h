#ifndef ANVILCROFT_LIVE_FORWARDER_H_
#define ANVILCROFT_LIVE_FORWARDER_H_

// Serves one short request by one or more targets within its deadline.
//
// A request that may be repeated is sent to a second target when the first one fails or takes
// unusually long; the first whole answer wins and the other attempt is ended. Any request is sent
// elsewhere when a target says that it did not run it. A refusal says "not run" only if no target
// can have run it.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/latency_window.h"
#include "anvilcroft/live_request.h"
#include "anvilcroft/retry_budget.h"
#include "anvilcroft/route_chooser.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/target_pool.h"
#include "platform/engine_client.h"

namespace anvilcroft {

class LiveForwarder {
 public:
  using Routes = std::function<std::shared_ptr<const RouteTable>()>;

  // Extra attempts beside one that still runs: at most this share of the requests.
  static constexpr double kHedgeShare = 0.15;
  static constexpr double kHedgeBurst = 10;

  LiveForwarder(Runtime& runtime, platform::EngineClient& engines, TargetPool& pool, Routes routes,
                std::string zone, uint64_t seed);

  LiveOutcome Serve(Task& task, const LiveRequest& request);

 private:
  struct AttemptGroup;

  void Launch(const std::shared_ptr<AttemptGroup>& race, const PoolTarget& target);
  Duration HedgeDelay(const ServiceRoute& route, const std::string& service) const;

  Runtime& runtime;
  platform::EngineClient& engines;
  TargetPool& pool;
  Routes routes;
  RouteChooser chooser;
  RetryBudget hedges{kHedgeShare, kHedgeBurst};
  std::map<std::string, LatencyWindow> latencies;  // by service
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIVE_FORWARDER_H_
