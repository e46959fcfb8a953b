#ifndef ANVILCROFT_LIVE_STREAMER_H_
#define ANVILCROFT_LIVE_STREAMER_H_

// Serves a request whose response is a stream of events: forwards each event as it arrives.
//
// When the target of a resumable stream fails or stops sending, the stream continues on another
// target after its last complete event, within the same response. Any other stream runs at most
// once: another target is tried only if the previous one reports that it did not run the request.
//
// Attempts after the first one may go through another instance (target_paths.h), and a stream under
// which targets have crashed is refused (crash_limiter.h).
//
// A stream, also one that its caller takes up, goes on only at targets of the service and the
// software version that began it (stream_origin.h). If there is none, the request is refused at
// once.

#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/crash_limiter.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/live_request.h"
#include "anvilcroft/request_limiter.h"
#include "anvilcroft/route_chooser.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/stream_origins.h"

namespace anvilcroft {

class LiveStreamer {
 public:
  using Routes = std::function<std::shared_ptr<const RouteTable>()>;

  // A resumable stream moves to another target if nothing arrives for this long, or for
  // kIdleTimeoutFactor times the target latency if that is longer. Callers give up after two
  // seconds or four times the target latency; half of that leaves the next target enough time.
  static constexpr Duration kMinIdleTimeout = milliseconds(1000);
  static constexpr int kIdleTimeoutFactor = 2;

  LiveStreamer(platform::EngineClient& engines, RequestLimiter& limiter, CrashLimiter& crashes,
               StreamOrigins& origins, TargetPool& pool, Routes routes, std::string zone,
               uint64_t seed)
      : engines(engines),
        limiter(limiter),
        crashes(crashes),
        origins(origins),
        pool(pool),
        routes(std::move(routes)),
        chooser(
            pool,
            [&limiter](const TargetEntry& target, TimePoint now) {
              return limiter.NextPermit(target, now);
            },
            std::move(zone), seed) {}

  // Writes the stream to `reply`. If the outcome is neither kStreamed nor kInterrupted, nothing has
  // been written and the caller of this function sends the response.
  LiveOutcome Serve(Task& task, const LiveRequest& request, HttpReply& reply);

 private:
  struct Progress;

  // Decides at which targets `request` may begin or go on. Fails if that is not known.
  Result<void> FindOrigin(Task& task, const LiveRequest& request, Progress& progress);
  // Chooses the next target; null if there is none.
  RouteChoice ChooseTarget(const ServiceRoute& route, Progress& progress, TimePoint now);
  // Streams from `target` until its response ends, and updates its health in the pool.
  platform::StreamOutcome RunAttempt(Task& task, SendPermit permit, const LiveRequest& request,
                                     const ServiceRoute& route, const TargetEntry& target,
                                     const PathQuery& path, platform::StreamPosition& position,
                                     const platform::StreamHooks& hooks);

  platform::EngineClient& engines;
  RequestLimiter& limiter;
  CrashLimiter& crashes;
  StreamOrigins& origins;
  TargetPool& pool;
  Routes routes;
  RouteChooser chooser;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIVE_STREAMER_H_
