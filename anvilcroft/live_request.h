#ifndef ANVILCROFT_LIVE_REQUEST_H_
#define ANVILCROFT_LIVE_REQUEST_H_

// A caller's request that is served while the caller waits, and how that ended.

#include <cstdint>
#include <memory>
#include <string>

#include "anvilcroft/cancellation.h"
#include "anvilcroft/time.h"
#include "platform/engine_client.h"

namespace anvilcroft {

// A target that says "not executed" costs no attempt; this many such answers end a request.
constexpr int kMaxRefusals = 4;
// Less time than this is not enough for an attempt.
constexpr Duration kMinAttemptTime = milliseconds(5);

struct LiveRequest {
  platform::ForwardRequest message;
  std::string host;
  std::string path;  // without the query
  TimePoint deadline;
  std::shared_ptr<Cancellation> caller_disconnected;  // may be null
  // A request of this id has been sent before. A connection that carried it may still deliver a
  // second copy of the former answer, so new ones are made.
  bool sent_before = false;
  // Streams: the number of the last event that the caller has; 0: it starts from the beginning.
  int64_t resume_after = 0;
};

struct LiveOutcome {
  enum class Kind {
    kAnswered,            // `reply` holds a target's answer
    kNoRoute,             // the configuration has no route for it
    kNotRun,              // no target ran it, and none will
    kUnknown,             // it may have run
    kTimedOut,            // the deadline passed; it may have run
    kCallerDisconnected,  // the caller has left
    kStreamed,            // all events have been passed on
    kInterrupted,         // the stream broke after events had been passed on
  };
  Kind kind = Kind::kNotRun;
  platform::ForwardReply reply;
  std::string reason;
  std::string target;  // the last one tried
  int attempts = 0;
  int failures = 0;  // answers by which a target says that it failed
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIVE_REQUEST_H_
