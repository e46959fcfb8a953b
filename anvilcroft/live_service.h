#ifndef ANVILCROFT_LIVE_SERVICE_H_
#define ANVILCROFT_LIVE_SERVICE_H_

// Serves the live requests of callers: decides whether a stopping instance still takes one, passes
// it on to LiveForwarder or LiveStreamer, and counts and logs its outcome.

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "anvilcroft/live_forwarder.h"
#include "anvilcroft/live_streamer.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/stop_plan.h"
#include "anvilcroft/usage/usage_recorder.h"

namespace anvilcroft {

class LiveService {
 public:
  using Routes = std::function<std::shared_ptr<const RouteTable>()>;

  LiveService(LiveForwarder& forwarder, LiveStreamer& streamer, Metrics& metrics, Routes routes)
      : forwarder(forwarder), streamer(streamer), metrics(metrics), routes(std::move(routes)) {}

  // From now on, serves only the requests that can end before the process does.
  void SetStopPlan(StopPlan plan) { this->stop_plan = plan; }

  // From now on, counts the requests of customers. `value` must outlive this.
  void SetUsageRecorder(UsageRecorder& value) { this->usage = &value; }

  LiveOutcome Forward(Task& task, LiveRequest request);
  // See LiveStreamer::Serve for what has been written to `reply`.
  LiveOutcome Stream(Task& task, LiveRequest request, HttpReply& reply);

 private:
  // Decides whether a request is served although this instance may be stopping, and by when.
  bool AdmitWhileStopping(LiveRequest& request, bool stream) const;
  // Calls `serve` for a request, then counts and logs the outcome.
  LiveOutcome ServeAndLog(LiveRequest& request, const char* kind,
                          const std::function<LiveOutcome()>& serve);

  LiveForwarder& forwarder;
  LiveStreamer& streamer;
  Metrics& metrics;
  Routes routes;
  std::optional<StopPlan> stop_plan;  // set while this instance stops
  UsageRecorder* usage = nullptr;     // null: use is not reported
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIVE_SERVICE_H_
