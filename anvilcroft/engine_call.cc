#include "anvilcroft/engine_call.h"

#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRefusalBytes = 256 << 10;
constexpr std::size_t kMaxTextBytes = 64 << 10;  // of one token
constexpr std::size_t kMaxSpans = 4096;

tl::unexpected<Error> Malformed(const std::string& message, const std::string& part) {
  return Fail(ErrorCode::kBadResponse, message, part, Ran::kUnknown);
}

}  // namespace

Error ParseRefusal(const std::string& body) {
  const auto parsed = ParseJson(body);
  std::string code;
  if (parsed && parsed->is_object()) {
    const auto error = parsed->find("error");
    if (error != parsed->end() && error->is_object()) {
      const auto named = error->find("code");
      if (named != error->end() && named->is_string()) code = named->get<std::string>();
    }
  }
  if (code == "leaving" || code == "swapping") {
    return Error{ErrorCode::kLeaving, "the target accepts no new work at present", code, Ran::kNo};
  }
  return Error{ErrorCode::kOverloaded, "the target refused the work", code, Ran::kNo};
}

EngineCall::EngineCall(HttpClient& http, Endpoint endpoint, std::string call_id, TraceContext trace)
    : http(http),
      endpoint(std::move(endpoint)),
      call_id(std::move(call_id)),
      trace(std::move(trace)) {}

Result<EngineCallEnd> EngineCall::Run(Task& task, json body, const CallOptions& options,
                                      EngineOutput& output, const EngineEventHook& on_event) {
  this->max_tokens = JsonFields(body, "body").IntegerOr("max_tokens", INT64_MAX, 0, INT64_MAX);
  body["request_id"] = this->call_id;
  body["stream"] = true;
  body.erase("resume_tokens");
  if (output.Size() > 0) body["resume_tokens"] = output.Tokens();
  HttpRequest::Builder request;
  request.SetMethod("POST").SetTarget("/v1/generate").SetHeader("X-Request-Id", this->call_id);
  if (this->trace.Valid()) request.SetHeader("traceparent", this->trace.ToHeader());
  request.SetJson(DumpJson(body));

  auto opened = this->http.OpenStream(task, this->endpoint, request.Build(), options);
  if (!opened) return tl::unexpected<Error>(opened.error());
  HttpStream& stream = **opened;
  if (stream.Status() != 200) return this->ReadErrorResponse(task, stream);
  if (stream.Headers().Find("Content-Type").substr(0, 17) != "text/event-stream") {
    return Malformed("the engine did not stream its response", "Content-Type");
  }
  SseParser parser;
  std::optional<EngineCallEnd> end;
  TimePoint event_limit = SteadyNow() + options.ProgressTimeout();
  while (true) {
    const auto chunk = stream.Read(task, event_limit);
    if (!chunk) {
      // After the last event the output is complete, however the connection ends.
      if (end) return *end;
      return tl::unexpected<Error>(chunk.error());
    }
    if (!*chunk) break;
    const auto events = parser.Feed(**chunk);
    if (!events) return Malformed(events.error().message, events.error().part);
    for (const SseEvent& event : *events) {
      if (end) return Malformed("an event arrived after the last event", "event");
      event_limit = SteadyNow() + options.ProgressTimeout();
      auto handled = this->HandleEvent(task, event, output, on_event);
      if (!handled) return tl::unexpected<Error>(handled.error());
      end = std::move(*handled);
    }
  }
  if (end) return *end;
  return Fail(ErrorCode::kConnectionLost, "the stream ended before its last event", "",
              Ran::kUnknown);
}

Result<std::optional<EngineCallEnd>> EngineCall::HandleEvent(Task& task, const SseEvent& event,
                                                             EngineOutput& output,
                                                             const EngineEventHook& on_event) {
  const auto parsed = ParseJson(event.data);
  if (!parsed) return Malformed("an event is not JSON", "event");
  JsonFields fields(*parsed, "event");
  const std::string id = fields.String("request_id");
  if (fields.Ok() && id != this->call_id) {
    return Malformed("an event belongs to another request", "event.request_id");
  }
  if (!event.type.empty() && event.type != "message") {
    return Malformed("the engine reported an error", event.type);
  }
  if (fields.BoolOr("done", false) && fields.Ok()) {
    auto end = this->HandleLastEvent(*parsed, output);
    if (!end) return tl::unexpected<Error>(end.error());
    return std::optional<EngineCallEnd>(std::move(*end));
  }
  const int64_t index = fields.Integer("index", 0, INT64_MAX);
  const json& token = fields.Optional("token");
  const std::string text = fields.StringOr("text", "", kMaxTextBytes);
  const json& version = fields.Optional("version");
  if (token.is_null()) fields.RecordError("token", "is missing");
  if (const auto read = fields.Finish(); !read) {
    return Malformed(read.error().message, read.error().part);
  }
  if (output.Size() >= this->max_tokens) {
    return Malformed("the output is longer than requested", "event");
  }
  if (index != output.Size()) {
    return Malformed("an event is missing, repeated or out of order", "event.index");
  }
  output.Add(
      token, text,
      version.is_number_integer() ? std::optional<int64_t>(version.get<int64_t>()) : std::nullopt);
  ++this->call_tokens;
  if (on_event) {
    if (const auto passed = on_event(task, *parsed); !passed) {
      return tl::unexpected<Error>(passed.error());
    }
  }
  return std::optional<EngineCallEnd>();
}

Result<EngineCallEnd> EngineCall::HandleLastEvent(const json& event, EngineOutput& output) {
  JsonFields fields(event, "event");
  EngineCallEnd end;
  const std::string finish = fields.StringOr("finish", "stop");
  // An engine that cancelled the call or lost tokens also ends the stream with a regular last
  // event.
  const bool too_short = finish == "length" && output.Size() < this->max_tokens;
  if (finish == "cancelled" || too_short || output.Size() > this->max_tokens) {
    return Malformed("the engine cancelled the output or ended it with a wrong number of tokens",
                     "event.finish");
  }
  output.SetFinish(finish);
  std::vector<WeightSpan> spans;
  for (const json& item : fields.Array("spans", kMaxSpans)) {
    JsonFields span(item, "event.spans");
    spans.push_back(
        {span.Integer("version", INT64_MIN, INT64_MAX), span.Integer("tokens", 0, INT64_MAX)});
    // Malformed spans make the versions unknown; the output itself is complete.
    if (!span.Ok()) spans.clear();
  }
  output.CheckFinalSpans(spans, this->call_tokens);
  const json& load = fields.Optional("load");
  if (load.is_object()) {
    JsonFields inner(load, "event.load");
    end.running = inner.IntegerOr("running", 0, 0, INT32_MAX);
    end.waiting = inner.IntegerOr("waiting", 0, 0, INT32_MAX);
    end.has_load = inner.Ok();
  }
  return end;
}

Result<EngineCallEnd> EngineCall::ReadErrorResponse(Task& task, HttpStream& stream) {
  EngineCallEnd end;
  end.status = stream.Status();
  while (true) {
    const auto chunk = stream.Read(task);
    if (!chunk) return tl::unexpected<Error>(chunk.error());
    if (!*chunk) break;
    end.body += **chunk;
    if (end.body.size() > kMaxRefusalBytes) return Malformed("the error body is too large", "body");
  }
  const std::string_view id = stream.Headers().Find("X-Request-Id");
  if (!id.empty() && id != this->call_id) {
    return Malformed("the response belongs to another request", "X-Request-Id");
  }
  if (end.status == 503 || end.status == 429) return tl::unexpected<Error>(ParseRefusal(end.body));
  if (end.status < 400 || end.status > 499) {
    return Malformed("the engine responded with status " + std::to_string(end.status), "status");
  }
  return end;
}

void EngineCall::SendCancel(Task& task, HttpClient& http, const Endpoint& endpoint,
                            const std::string& call_id) {
  const auto request = HttpRequest::Builder()
                           .SetMethod("POST")
                           .SetTarget("/v1/cancel")
                           .SetJson(DumpJson({{"request_id", call_id}}))
                           .Build();
  http.Call(task, endpoint, request, CallOptions(SteadyNow() + seconds(2)).WithFreshConnection());
}

}  // namespace anvilcroft
