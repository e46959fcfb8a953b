#include "anvilcroft/caller_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/sse_parser.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr Duration kOutcomeTimeout = seconds(5);

// Identifiers are written to headers and rows, so only visible ASCII is accepted.
bool ValidId(std::string_view id) {
  return id.size() <= CallerApi::kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

Result<Duration> ParseDeadline(std::string_view text) {
  if (text.empty()) return CallerApi::kDefaultDeadline;
  int64_t millis = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), millis);
  if (failed != std::errc() || end != text.data() + text.size() || millis < 1 ||
      millis > ToMillis(CallerApi::kMaxDeadline)) {
    return Fail(ErrorCode::kInvalidArgument,
                "must be a number of milliseconds from 1 to 3600000 (one hour)", "X-Deadline-Ms");
  }
  return Duration(milliseconds(millis));
}

Result<Priority> ParsePriority(std::string_view text) {
  if (text.empty() || text == "normal") return Priority::kNormal;
  if (text == "high") return Priority::kHigh;
  if (text == "low") return Priority::kLow;
  return Fail(ErrorCode::kInvalidArgument, "must be high, normal or low", "X-Priority");
}

// Whether a body requests server-sent events. The whole body is validated later.
bool RequestsStream(const std::string& body) {
  const auto parsed = ParseJson(body);
  if (!parsed || !parsed->is_object()) return false;
  const auto stream = parsed->find("stream");
  return stream != parsed->end() && stream->is_boolean() && stream->get<bool>();
}

HttpResponse WithRequestId(const HttpResponse& response, const std::string& request_id) {
  return HttpResponse::Builder()
      .SetStatus(response.Status())
      .SetHeaders(response.Headers())
      .SetHeader("X-Request-Id", request_id)
      .SetBody(response.Body())
      .Build();
}

// The final event of a stream: the fields of the result other than the tokens already sent.
std::string FinalEvent(const WorkResult& result) {
  json event = {{"done", true}, {"target", result.TargetId()}};
  const auto body = ParseJson(result.Body());
  if (body && body->is_object()) {
    for (const char* key : {"request_id", "spans", "finish"}) {
      if (body->contains(key)) event[key] = (*body)[key];
    }
    if (body->contains("tokens")) event["tokens"] = (*body)["tokens"].size();
  }
  return DumpJson(event);
}

// Streams the events of one request. The response headers are sent with the first event, so that an
// error before it can be sent as an ordinary error response.
class CallerStream {
 public:
  CallerStream(HttpReply& reply, std::string request_id)
      : reply(reply), request_id(std::move(request_id)) {}

  bool Started() const { return this->started; }

  Result<void> Send(Task& task, const std::string& event, const std::string& type = "") {
    if (!this->started) {
      this->started = true;
      const HttpHeaders headers({{"Content-Type", "text/event-stream"},
                                 {"Cache-Control", "no-store"},
                                 {"X-Request-Id", this->request_id},
                                 {"X-Ran", RanName(Ran::kYes)}});
      if (auto sent = this->reply.BeginStream(task, 200, headers); !sent) return sent;
    }
    return this->reply.Write(task, FormatSse(event, type));
  }

 private:
  HttpReply& reply;
  std::string request_id;
  bool started = false;
};

}  // namespace

CallerApi::CallerApi(RunHook run, OutcomeHook find_outcome, Tracer& tracer, Metrics& metrics,
                     uint64_t seed)
    : run(std::move(run)),
      find_outcome(std::move(find_outcome)),
      tracer(tracer),
      metrics(metrics),
      random(seed) {}

void CallerApi::RegisterRoutes(HttpRouter& router) {
  router.Add("POST", "/v1/services/{service}/{operation}",
             [this](Task& task, const HttpRequest& request, const PathParts& parts,
                    HttpReply& reply) { this->HandleWork(task, request, parts, reply); });
  router.Add("GET", "/v1/outcomes/{service}/{key}",
             [this](Task& task, const HttpRequest&, const PathParts& parts, HttpReply& reply) {
               this->HandleOutcome(task, parts, reply);
             });
}

Result<WorkRequest> CallerApi::Decode(const HttpRequest& request, const PathParts& parts,
                                      const TraceContext& trace, TimePoint now) {
  const HttpHeaders& headers = request.Headers();
  const auto deadline = ParseDeadline(headers.Find("X-Deadline-Ms"));
  if (!deadline) return tl::unexpected<Error>(deadline.error());
  const auto priority = ParsePriority(headers.Find("X-Priority"));
  if (!priority) return tl::unexpected<Error>(priority.error());
  std::string id(headers.Find("X-Request-Id"));
  if (!ValidId(id)) {
    return Fail(ErrorCode::kInvalidArgument, "must be visible ASCII of at most 200 bytes",
                "X-Request-Id");
  }
  if (id.empty()) id = RandomHex(this->random, 32);
  const std::string key(headers.Find("Idempotency-Key"));
  if (!ValidId(key)) {
    return Fail(ErrorCode::kInvalidArgument, "must be visible ASCII of at most 200 bytes",
                "Idempotency-Key");
  }
  return WorkRequest::Builder()
      .SetService(parts.at("service"))
      .SetOperation(parts.at("operation"))
      .SetRequestId(id)
      .SetIdempotencyKey(key)
      .SetDeadline(now + *deadline)
      .SetPriority(*priority)
      .SetBody(request.Body())
      .SetStream(RequestsStream(request.Body()))
      .SetTrace(trace)
      .SetCancellation(std::make_shared<Cancellation>())
      .Build();
}

void CallerApi::HandleWork(Task& task, const HttpRequest& request, const PathParts& parts,
                           HttpReply& reply) {
  const auto parent = ParseTraceParent(request.Headers().Find("traceparent"));
  Span span = this->tracer.Start("request", parent ? *parent : TraceContext());
  const auto work = this->Decode(request, parts, span.Context(), SteadyNow());
  if (!work) {
    this->tracer.End(span, ErrorCodeName(work.error().code));
    this->metrics.Increment("anvilcroft_malformed_requests_total", {});
    // An earlier, well-formed request with the same key may have run.
    const std::string key(request.Headers().Find("Idempotency-Key"));
    const bool may_have_run = !key.empty() && ValidId(key);
    reply.Send(task,
               ErrorResponse(may_have_run ? work.error().WithRan(Ran::kUnknown) : work.error()));
    return;
  }
  const std::string& id = work->RequestId();
  span.SetAttribute("service", work->Service());
  span.SetAttribute("operation", work->Operation());
  span.SetAttribute("request_id", id);

  CallerStream stream(reply, id);
  StreamSink sink;
  if (work->Stream()) {
    sink = [&stream](Task& inner, const std::string& event) { return stream.Send(inner, event); };
  }
  const auto result = this->run(task, *work, sink);
  this->tracer.End(span, result ? "ok" : ErrorCodeName(result.error().code));
  if (!result) {
    const HttpResponse response = ErrorResponse(result.error());
    if (!stream.Started()) {
      reply.Send(task, WithRequestId(response, id));
      return;
    }
    stream.Send(task, response.Body(), "error");
    reply.Abort();
    return;
  }
  if (stream.Started()) {
    if (stream.Send(task, FinalEvent(*result))) reply.End(task);
    return;
  }
  HttpResponse::Builder response;
  response.SetStatus(result->Status())
      .SetHeader("Content-Type", result->ContentType())
      .SetHeader("X-Request-Id", id)
      .SetHeader("X-Target", result->TargetId())
      .SetHeader("X-Ran", RanName(Ran::kYes))
      .SetBody(result->Body());
  if (result->Replayed()) response.SetHeader("X-Replayed", "true");
  reply.Send(task, response.Build());
}

void CallerApi::HandleOutcome(Task& task, const PathParts& parts, HttpReply& reply) {
  const std::string& key = parts.at("key");
  const auto found =
      this->find_outcome(task, parts.at("service"), key, SteadyNow() + kOutcomeTimeout);
  if (!found) {
    reply.Send(task, ErrorResponse(found.error()));
    return;
  }
  if (!*found) {
    reply.Send(task, ErrorResponse(Error{ErrorCode::kNotFound, "no outcome is recorded for the key",
                                         key, Ran::kNo}));
    return;
  }
  const ClaimRecord& record = **found;
  json body = {{"state", ClaimStateName(record.state)},
               {"request_id", record.request_id},
               {"at_ms", record.at_ms}};
  if (record.state == ClaimRecord::State::kDone) {
    body["status"] = record.status;
    body["content_type"] = record.content_type;
    body["target"] = record.target;
    body["body"] = record.body_omitted ? json() : json(record.body);
  }
  reply.Send(task, JsonResponse(200, DumpJson(body)));
}

}  // namespace anvilcroft
