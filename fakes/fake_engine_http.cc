// The HTTP handlers of FakeEngine.

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"
#include "fakes/fake_engine.h"

namespace anvilcroft::fakes {
namespace {

using nlohmann::json;

constexpr int64_t kMaxTokens = 1000000;

json EncodeSpans(const std::vector<WeightSpan>& spans) {
  json list = json::array();
  for (const WeightSpan& span : spans) {
    list.push_back({{"version", span.version}, {"tokens", span.tokens}});
  }
  return list;
}

// Returns the weight version that produced the token at `offset` within `spans`.
int64_t VersionAt(const std::vector<WeightSpan>& spans, int64_t offset) {
  for (const WeightSpan& span : spans) {
    if (offset < span.tokens) return span.version;
    offset -= span.tokens;
  }
  return 0;
}

Result<void> CheckResumeTokens(const json& tokens, const ExpectedAnswer& answer) {
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    if (tokens[i] != answer.TokenAt(static_cast<int64_t>(i)).id) {
      return Fail(ErrorCode::kInvalidArgument, "token is not part of the answer to this prompt",
                  "resume_tokens." + std::to_string(i));
    }
  }
  return {};
}

std::string ServerSentEvent(const json& event) { return "data: " + DumpJson(event) + "\n\n"; }

}  // namespace

void FakeEngine::AddRoutes() {
  HttpRouter& routes = this->server.Routes();
  routes.Add(
      "POST", "/v1/generate",
      JsonRoute([this](Task& task, const json& body, const HttpRequest& request, HttpReply& reply) {
        this->HandleGenerate(task, body, request, reply);
      }));
  const auto add = [&](const char* path,
                       void (FakeEngine::*handle)(Task&, const json&, HttpReply&)) {
    routes.Add("POST", path,
               JsonRoute([this, handle](Task& task, const json& body, const HttpRequest&,
                                        HttpReply& reply) { (this->*handle)(task, body, reply); }));
  };
  add("/v1/cancel", &FakeEngine::HandleCancel);
  add("/v1/orders", &FakeEngine::HandleOrder);
  add("/v1/kv/export", &FakeEngine::HandleExport);
  add("/v1/kv/import", &FakeEngine::HandleImport);
  routes.Add("GET", "/v1/state",
             [this](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
               reply.Send(task, JsonResponse(200, DumpJson(this->State())));
             });
  routes.Add("GET", "/v1/cache/events",
             [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
               const int64_t since = std::strtoll(request.QueryValue("since").c_str(), nullptr, 10);
               const json events = this->cache_events.EventsSince(SteadyNow(), since);
               reply.Send(task, JsonResponse(200, DumpJson(events)));
             });
  this->server.ControlRoutes().Add(
      "POST", "/control/leave",
      [this](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
        this->Leave();
        reply.Send(task, JsonResponse(200, "{}"));
      });
  this->server.SetLog([this](const HttpRequest&) {
    return json{{"requests", this->log}, {"orders", this->orders.Log()}};
  });
}

Result<std::shared_ptr<Generation>> FakeEngine::DecodeRequest(const json& body,
                                                              const HttpRequest& request) const {
  JsonFields fields(body, "");
  std::string id = fields.StringOr("request_id", "");
  if (id.empty()) id = request.Headers().Find("X-Request-Id");
  if (id.empty()) fields.RecordError("request_id", "is missing");
  const std::string prompt = fields.StringOr("prompt", "", 1 << 20);
  const int64_t max_tokens = fields.IntegerOr("max_tokens", 16, 1, kMaxTokens);
  const std::string level = fields.StringOr("priority", "normal");
  Priority priority = Priority::kNormal;
  if (level == "high") {
    priority = Priority::kHigh;
  } else if (level == "low") {
    priority = Priority::kLow;
  } else if (level != "normal") {
    fields.RecordError("priority", "must be high, normal or low");
  }
  const json empty = json::array();
  const json& resume = fields.Optional("resume_tokens").is_null()
                           ? empty
                           : fields.Array("resume_tokens", kMaxTokens);
  if (static_cast<int64_t>(resume.size()) > max_tokens) {
    fields.RecordError("resume_tokens", "has more tokens than max_tokens");
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  auto item = std::make_shared<Generation>(id, prompt, max_tokens,
                                           static_cast<int64_t>(resume.size()), priority);
  const auto resumable = CheckResumeTokens(resume, item->answer);
  if (!resumable) return tl::unexpected<Error>(resumable.error());
  if (item->KvTokens() > this->options.batch.kv_tokens) {
    return Fail(ErrorCode::kTooLarge, "prompt and answer do not fit into the KV cache",
                "max_tokens");
  }
  return item;
}

void FakeEngine::HandleGenerate(Task& task, const json& body, const HttpRequest& request,
                                HttpReply& reply) {
  if (this->leaving) {
    reply.Send(task,
               ErrorResponse(Error{ErrorCode::kLeaving,
                                   "the engine is leaving and accepts no new work", "", Ran::kNo}));
    return;
  }
  const auto item = this->DecodeRequest(body, request);
  if (!item) {
    reply.Send(task, ErrorResponse(item.error()));
    return;
  }
  this->LogEvent("started", **item);
  if (request.Body().find("CRASH_TARGET") != std::string::npos) {
    this->LogEvent("lost", **item);
    this->Crash();
    reply.Abort();
    return;
  }
  this->batch.Add(*item);
  this->RecordLoad();
  this->work_added->NotifyAll();
  const auto stream = body.find("stream");
  if (stream != body.end() && *stream == true) {
    this->SendStream(task, *item, reply);
  } else {
    this->SendAnswer(task, *item, reply);
  }
}

std::string FakeEngine::ResponseRequestId(const Generation& item) {
  const bool wrong = FaultPlan::ConsumeOne(this->server.Faults().wrong_request_id);
  return wrong ? "not-" + item.request_id : item.request_id;
}

void FakeEngine::SendAnswer(Task& task, const std::shared_ptr<Generation>& item, HttpReply& reply) {
  while (!item->Ended()) item->changed.Wait(task);
  if (item->state == Generation::State::kAborted) {
    reply.Abort();
    return;
  }
  const int64_t late_ms = this->server.Faults().late_answers_ms;
  if (late_ms > 0 && !this->server.Delay(task, milliseconds(late_ms))) {
    reply.Abort();
    return;
  }
  if (this->Silent()) {
    this->server.HoldUnanswered(task, reply);
    return;
  }
  if (item->state == Generation::State::kCancelled) {
    reply.Send(task, ErrorResponse(
                         Error{ErrorCode::kCancelled, "the request was cancelled", "", Ran::kYes}));
    return;
  }
  json tokens = json::array();
  std::string text;
  for (int64_t i = item->resumed_tokens; i < item->produced; ++i) {
    const Token token = item->answer.TokenAt(i);
    tokens.push_back(token.id);
    text += token.text;
  }
  const json body = {{"request_id", this->ResponseRequestId(*item)},
                     {"tokens", std::move(tokens)},
                     {"text", std::move(text)},
                     {"spans", EncodeSpans(item->spans)},
                     {"finish", "length"},
                     {"load", this->ReportedLoad()}};
  reply.Send(task, JsonResponse(200, DumpJson(body)));
}

void FakeEngine::SendStream(Task& task, const std::shared_ptr<Generation>& item, HttpReply& reply) {
  const auto cancel_request = [&] {
    const auto is_item = [&](const Generation& other) { return &other == &*item; };
    if (this->batch.Cancel(is_item, Generation::State::kCancelled) > 0) {
      this->LogEvent("cancelled", *item);
    }
  };
  const std::string id = this->ResponseRequestId(*item);
  const HttpHeaders headers({{"Content-Type", "text/event-stream"}, {"X-Request-Id", id}});
  if (!reply.BeginStream(task, 200, headers)) return cancel_request();
  int64_t sent = item->resumed_tokens;
  while (true) {
    while (sent == item->produced && !item->Ended()) item->changed.Wait(task);
    if (item->state == Generation::State::kAborted) return reply.Abort();
    if (this->Silent()) return this->server.HoldUnanswered(task, reply);
    if (sent == item->produced) break;
    std::string events;
    for (; sent < item->produced; ++sent) {
      const Token token = item->answer.TokenAt(sent);
      events += ServerSentEvent({{"request_id", id},
                                 {"index", sent},
                                 {"token", token.id},
                                 {"text", token.text},
                                 {"version", VersionAt(item->spans, sent - item->resumed_tokens)}});
    }
    if (!reply.Write(task, events)) return cancel_request();
  }
  const int64_t late_ms = this->server.Faults().late_answers_ms;
  if (late_ms > 0 && !this->server.Delay(task, milliseconds(late_ms))) return reply.Abort();
  const bool cancelled = item->state == Generation::State::kCancelled;
  reply.Write(task, ServerSentEvent({{"request_id", id},
                                     {"done", true},
                                     {"finish", cancelled ? "cancelled" : "length"},
                                     {"spans", EncodeSpans(item->spans)},
                                     {"load", this->ReportedLoad()}}));
  reply.End(task);
}

void FakeEngine::HandleCancel(Task& task, const json& body, HttpReply& reply) {
  JsonFields fields(body, "");
  const std::string id = fields.String("request_id");
  if (!fields.Ok()) {
    reply.Send(task, ErrorResponse(fields.Finish().error()));
    return;
  }
  const int64_t cancelled = this->batch.Cancel(
      [&](const Generation& item) { return item.request_id == id; }, Generation::State::kCancelled);
  for (int64_t i = 0; i < cancelled; ++i) {
    this->log.push_back(
        {{"request_id", id}, {"event", "cancelled"}, {"at_ms", this->server.ElapsedMillis()}});
  }
  this->RecordLoad();
  reply.Send(task, JsonResponse(200, DumpJson({{"cancelled", cancelled}})));
}

void FakeEngine::HandleOrder(Task& task, const json& body, HttpReply& reply) {
  const auto outcome = this->orders.Run(task, body);
  if (!outcome && outcome.error().code == ErrorCode::kConnectionLost) {
    reply.Abort();
  } else if (!outcome) {
    reply.Send(task, ErrorResponse(outcome.error()));
  } else {
    const json answer = {{"order_id", body["order_id"]},
                         {"weight_version", this->orders.Current().weight_version}};
    reply.Send(task, JsonResponse(200, DumpJson(answer)));
  }
}

void FakeEngine::HandleExport(Task& task, const json& body, HttpReply& reply) {
  JsonFields fields(body, "");
  std::vector<PrefixCache::Block> blocks =
      PrefixCache::BlocksOf(fields.StringOr("prompt", "", 1 << 20));
  if (!fields.Ok()) {
    reply.Send(task, ErrorResponse(fields.Finish().error()));
    return;
  }
  blocks.resize(static_cast<std::size_t>(this->cache.Match(blocks)));
  const json answer = {{"weight_version", this->orders.Current().weight_version},
                       {"tokens", blocks.size() * PrefixCache::kBlockTokens},
                       {"blocks", blocks}};
  reply.Send(task, JsonResponse(200, DumpJson(answer)));
}

void FakeEngine::HandleImport(Task& task, const json& body, HttpReply& reply) {
  JsonFields fields(body, "");
  const std::vector<std::string> blocks = fields.Strings("blocks", 100000);
  const int64_t version = fields.Integer("weight_version", 0, INT64_MAX);
  if (fields.Ok() && version != this->orders.Current().weight_version) {
    fields.RecordError("weight_version", "differs from the weight version in use");
  }
  if (!fields.Ok()) {
    reply.Send(task, ErrorResponse(fields.Finish().error()));
    return;
  }
  this->cache.Add(blocks, this->batch.FreeKvTokens());
  reply.Send(task, JsonResponse(200, DumpJson({{"tokens", this->cache.Tokens()}})));
}

}  // namespace anvilcroft::fakes
