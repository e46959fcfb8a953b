#ifndef ANVILCROFT_LIVE_STREAMER_H_
#define ANVILCROFT_LIVE_STREAMER_H_

// Serves a request whose answer is a stream: passes each event on as it arrives.
//
// A stream that may be resumed goes on at another target after its last whole event, within the
// same response, when its target fails or falls silent. Any other stream runs at most once: only a
// target that says that it did not run the request is followed by another one.

#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/http_server.h"
#include "anvilcroft/live_request.h"
#include "anvilcroft/route_chooser.h"
#include "anvilcroft/route_table.h"

namespace anvilcroft {

class LiveStreamer {
 public:
  using Routes = std::function<std::shared_ptr<const RouteTable>()>;

  // A resumable stream leaves a target that sends nothing for this long, or for kIdleTimeoutFactor
  // of the target latency if that is longer. Callers give up after two seconds or four times the
  // target latency; half of that leaves the next target its chance.
  static constexpr Duration kMinIdleTimeout = milliseconds(1000);
  static constexpr int kIdleTimeoutFactor = 2;

  LiveStreamer(platform::EngineClient& engines, TargetPool& pool, Routes routes, std::string zone,
               uint64_t seed)
      : engines(engines),
        pool(pool),
        routes(std::move(routes)),
        chooser(pool, std::move(zone), seed) {}

  // Writes the stream to `reply`. Unless the outcome is kStreamed or kInterrupted, nothing has been
  // written and the caller of this function answers.
  LiveOutcome Serve(Task& task, const LiveRequest& request, HttpReply& reply);

 private:
  platform::StreamOutcome RunAttempt(Task& task, const LiveRequest& request,
                                     const ServiceRoute& route, const TargetEntry& target,
                                     platform::StreamPosition& position,
                                     const platform::StreamHooks& hooks);

  platform::EngineClient& engines;
  TargetPool& pool;
  Routes routes;
  RouteChooser chooser;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIVE_STREAMER_H_
