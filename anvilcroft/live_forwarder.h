#ifndef ANVILCROFT_LIVE_FORWARDER_H_
#define ANVILCROFT_LIVE_FORWARDER_H_

// Forwards one short request to one or more targets within its deadline.
//
// A repeatable request is sent to a second target when the first one fails or takes unusually long
// (a hedge); the first complete response is used and the other attempt is cancelled. Any request is
// sent to another target when a target reports that it did not run it. The outcome is kNotRun only
// if no target can have run the request. Targets that limit their requests get no hedges, and other
// requests only with a permit; a request that no target takes in time is refused at once.
//
// Attempts after the first one go through another instance as long as no target has answered since
// the request was sent (target_paths.h). A request under which targets have crashed is refused
// (crash_limiter.h).

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/crash_limiter.h"
#include "anvilcroft/latency_window.h"
#include "anvilcroft/live_request.h"
#include "anvilcroft/request_limiter.h"
#include "anvilcroft/retry_budget.h"
#include "anvilcroft/route_chooser.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/target_pool.h"
#include "platform/engine_client.h"

namespace anvilcroft {

class LiveForwarder {
 public:
  using Routes = std::function<std::shared_ptr<const RouteTable>()>;

  // Limits hedges, that is, attempts that start while another one is running, to this share of the
  // requests.
  static constexpr double kHedgeShare = 0.15;
  static constexpr double kHedgeBurst = 10;

  LiveForwarder(Runtime& runtime, platform::EngineClient& engines, RequestLimiter& limiter,
                CrashLimiter& crashes, TargetPool& pool, Routes routes, std::string zone,
                uint64_t seed);

  // Blocks the task until `request` has an outcome.
  LiveOutcome Serve(Task& task, const LiveRequest& request);

 private:
  struct AttemptGroup;

  // Sends the request of `group` to the chosen target in a new task.
  void StartAttempt(const std::shared_ptr<AttemptGroup>& group, const RouteChoice& choice);
  // How long an attempt may run before a second one is started.
  Duration HedgeDelay(const ServiceRoute& route, const std::string& service) const;

  Runtime& runtime;
  platform::EngineClient& engines;
  RequestLimiter& limiter;
  CrashLimiter& crashes;
  TargetPool& pool;
  Routes routes;
  RouteChooser chooser;
  RetryBudget hedges{kHedgeShare, kHedgeBurst};
  std::map<std::string, LatencyWindow> latencies;  // by service
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIVE_FORWARDER_H_
