#ifndef ANVILCROFT_CALLER_API_H_
#define ANVILCROFT_CALLER_API_H_

// The HTTP interface for callers: POST /v1/services/{service}/{operation} and
// GET /v1/outcomes/{service}/{key} (docs/design.md, section 5.1).
//
// A streamed response consists of server-sent events in the engine's format and a final event
// `data: {"done": true, ...}`. An error after the first event is sent as `event: error`, and the
// connection is then closed without completing the body.

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "anvilcroft/claim_record.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/stream_sink.h"
#include "anvilcroft/tracer.h"
#include "anvilcroft/work_request.h"
#include "anvilcroft/work_result.h"

namespace anvilcroft {

class CallerApi {
 public:
  using RunHook =
      std::function<Result<WorkResult>(Task&, const WorkRequest&, const StreamSink& sink)>;
  using OutcomeHook = std::function<Result<std::optional<ClaimRecord>>(
      Task&, const std::string& service, const std::string& key, TimePoint deadline)>;

  // Deadline of a request without X-Deadline-Ms, and the longest that X-Deadline-Ms may ask for.
  static constexpr Duration kDefaultDeadline = seconds(60);
  static constexpr Duration kMaxDeadline = std::chrono::hours(1);
  // Maximum length of X-Request-Id and Idempotency-Key in bytes.
  static constexpr std::size_t kMaxIdBytes = 200;

  // `run` executes a request; with a non-empty sink it streams events to the sink. `find_outcome`
  // looks up the record of an idempotency key. `seed` is for generated request ids.
  CallerApi(RunHook run, OutcomeHook find_outcome, Tracer& tracer, Metrics& metrics, uint64_t seed);

  void RegisterRoutes(HttpRouter& router);

 private:
  void HandleWork(Task& task, const HttpRequest& request, const PathParts& parts, HttpReply& reply);
  void HandleOutcome(Task& task, const PathParts& parts, HttpReply& reply);
  Result<WorkRequest> Decode(const HttpRequest& request, const PathParts& parts,
                             const TraceContext& trace, TimePoint now);

  RunHook run;
  OutcomeHook find_outcome;
  Tracer& tracer;
  Metrics& metrics;
  std::mt19937_64 random;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CALLER_API_H_
