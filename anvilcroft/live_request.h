#ifndef ANVILCROFT_LIVE_REQUEST_H_
#define ANVILCROFT_LIVE_REQUEST_H_

// A request that is served while its caller waits, and its outcome.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/cancellation.h"
#include "anvilcroft/time.h"
#include "platform/engine_client.h"

namespace anvilcroft {

// An attempt that certainly did not run, because the target reported so or no connection could be
// made, doesn't count towards the route's limit on targets. After this many of them no further
// attempt is started.
constexpr int kMaxRefusals = 4;
// Longest wait for a permit to send a request to a target that limits its requests, while another
// target does not.
constexpr Duration kShortPermitWait = milliseconds(25);
// Without such a target, a request waits for a permit for at most this share of its time left, so
// that a refused caller can come back in time.
constexpr double kPermitWaitShare = 0.4;
// No attempt is started with less time than this until the deadline.
constexpr Duration kMinAttemptTime = milliseconds(5);

struct LiveRequest {
  platform::ForwardRequest message;
  std::string host;
  std::string path;  // without the query
  TimePoint deadline;
  std::shared_ptr<Cancellation> caller_disconnected;  // may be null
  // Whether another instance, or this one, may have sent a request with the same id before.
  bool id_repeats = false;
  // Identifies the caller: the name of the customer where the configuration names customers, else
  // what the caller has told; may be empty.
  std::string caller;
  // Name of the customer, from the configuration; empty: the configuration names no customers, or
  // the request belongs to none.
  std::string customer;
  // Whether the request is refused once targets have crashed under it (crash_limiter.h). False for
  // calls on behalf of batch items, which are owed in any case.
  bool crash_limited = false;
  // Streams: number of the last event that the caller has received; 0: start from the beginning.
  int64_t resume_after = 0;
  // Streams: id of the attempt that brought the caller its first event, if it has received any.
  std::string resumes;
  // Time within which the caller may take up the stream, in this or another attempt.
  Duration caller_time = Duration::zero();
  // Called with the wall-clock time at which a target has most likely begun to run the request, and
  // whether that is certain. A later call replaces a time that was not. May be empty.
  std::function<void(WallMillis began_at, bool certain)> on_begin;
};

struct LiveOutcome {
  enum class Kind {
    kAnswered,      // `reply` holds a target's answer
    kNoRoute,       // the configuration has no route for the request
    kNotRun,        // no target ran the request, and none will
    kUnknown,       // the request may have run, but there is no complete response
    kTimedOut,      // the deadline passed; the request may have run
    kDisconnected,  // the caller disconnected
    kStreamed,      // all events have been forwarded
    kInterrupted,   // the stream failed after its response had been started
  };
  Kind kind = Kind::kNotRun;
  platform::ForwardReply reply;
  std::string reason;      // for the log and the error message; may be empty
  std::string target;      // id of the last target tried
  std::string software;    // streams: version of the software that generated the last event
  int64_t last_event = 0;  // streams: number of the last event forwarded
  int attempts = 0;
  int failures = 0;  // responses in which a target reported a failure
  // kNotRun: when the caller may come back, if that is known.
  std::optional<Duration> retry_after;
  // Wall-clock time at which a target first began to run the request: a stream with its first
  // event. A short request that was sent and not refused counts as run, also without an answer,
  // because a request is lost far less often than the answer. nullopt: no target began.
  std::optional<WallMillis> began_at;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIVE_REQUEST_H_
