#include "testing/routing_fixture.h"

#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/sse_parser.h"

namespace anvilcroft::testing {

using nlohmann::json;

std::string ErrorCodeOf(const HttpResponse& response) {
  const auto body = ParseJson(response.Body());
  if (!body || !body->is_object() || !body->contains("error")) return "";
  return (*body)["error"].value("code", "");
}

StubTarget::StubTarget(Runtime& runtime, std::string id, TargetKind kind, std::string service)
    : id(std::move(id)), kind(kind), service(std::move(service)), runtime(runtime) {
  this->Listen("127.0.0.1:0");
}

void StubTarget::Listen(const std::string& at) {
  this->servers.push_back(
      HttpServer::Builder(this->runtime)
          .SetAddress(at)
          .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
            this->Handle(task, request, reply);
          })
          .Build());
  this->address = *this->servers.back()->Start();
}

void StubTarget::Disconnect() {
  this->disconnected = true;
  this->servers.back()->StopAccepting();
}

void StubTarget::Reconnect() {
  this->disconnected = false;
  this->Listen(this->address);
}

json StubTarget::ListEntry() const {
  return {{"id", this->id},
          {"kind", TargetKindName(this->kind)},
          {"service", this->service},
          {"address", this->address},
          {"zone", "z1"},
          {"state", this->list_state}};
}

void StubTarget::Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
  if (this->disconnected) return reply.Abort();
  if (request.Path() == "/v1/state") {
    const json state = {{"id", this->id},
                        {"instance_start", "1"},
                        {"weight_version", this->version},
                        {"swapping", this->refuse_code == "swapping"},
                        {"leaving", this->refuse_code == "leaving"}};
    reply.Send(task, JsonResponse(200, DumpJson(state)));
    return;
  }
  const auto body = ParseJson(request.Body());
  if (request.Path() == "/v1/cancel") {
    this->cancelled.push_back(body->value("request_id", ""));
    reply.Send(task, JsonResponse(200, "{}"));
    return;
  }
  if (!this->refuse_code.empty()) {
    ++this->refused;
    reply.Send(task, JsonResponse(503, DumpJson({{"error", {{"code", this->refuse_code}}}})));
    return;
  }
  this->calls.push_back(request.Body());
  if (this->on_call) this->on_call();
  if (!this->crash_on.empty() && request.Body().find(this->crash_on) != std::string::npos) {
    SleepUntil(task, SteadyNow() + this->crash_delay);
    this->Disconnect();
    reply.Abort();
    return;
  }
  if (this->kind == TargetKind::kModelEngine) {
    this->Generate(task, *body, reply);
  } else {
    this->Answer(task, request, reply);
  }
}

void StubTarget::Generate(Task& task, const json& body, HttpReply& reply) {
  const std::string call_id = body["request_id"];
  int next = body.contains("resume_tokens") ? static_cast<int>(body["resume_tokens"].size()) : 0;
  const int end = this->finish_at >= 0 ? this->finish_at : body["max_tokens"].get<int>();
  reply.BeginStream(task, 200, HttpHeaders().With("Content-Type", "text/event-stream"));
  int sent = 0;
  for (; next < end; ++next) {
    SleepUntil(task, SteadyNow() + this->token_time);
    if (this->disconnected || sent == this->break_after) return reply.Abort();
    if (sent == this->silent_after) SleepUntil(task, SteadyNow() + seconds(60));
    ++sent;
    if (next == this->skip_at) continue;
    json event = {{"request_id", next == this->wrong_id_at ? "another" : call_id},
                  {"index", next},
                  {"token", next},
                  {"text", std::to_string(next) + " "}};
    if (this->version > 0) event["version"] = this->version;
    if (!reply.Write(task, FormatSse(DumpJson(event)))) return;
  }
  json last = {{"request_id", call_id}, {"done", true}, {"finish", "length"}};
  last["spans"] = json::array({{{"version", this->version}, {"tokens", sent}}});
  reply.Write(task, FormatSse(DumpJson(last)));
  reply.End(task);
}

void StubTarget::Answer(Task& task, const HttpRequest& request, HttpReply& reply) {
  SleepUntil(task, SteadyNow() + this->answer_time);
  if (this->disconnected) return reply.Abort();
  if (this->silent_after >= 0 && static_cast<int>(this->calls.size()) > this->silent_after) {
    SleepUntil(task, SteadyNow() + seconds(60));
  }
  const std::string own(request.Headers().Find("X-Request-Id"));
  reply.Send(task, HttpResponse::Builder()
                       .SetHeader("X-Request-Id", this->echo_id.empty() ? own : this->echo_id)
                       .SetJson(DumpJson({{"ran", request.Body()}, {"id", own}}))
                       .Build());
}

Result<RowVersion> StubTable::Apply(const Transaction& transaction) {
  std::string failed;
  for (std::size_t i = 0; i < transaction.Checks().size(); ++i) {
    const auto& check = transaction.Checks()[i];
    const auto found = this->rows.find(check.key);
    const RowVersion version = found == this->rows.end() ? 0 : found->second.version;
    if (version != check.version) failed += (failed.empty() ? "" : ",") + std::to_string(i);
  }
  if (!failed.empty()) return Fail(ErrorCode::kConflict, "a check failed", failed);
  ++this->last;
  for (const auto& write : transaction.Writes()) {
    if (write.value.is_null()) {
      this->rows.erase(write.key);
    } else {
      this->rows[write.key] = Row{write.key, write.value, this->last};
    }
  }
  return this->last;
}

Result<RowVersion> StubTable::Commit(Task& task, const Transaction& transaction, TimePoint) {
  SleepUntil(task, SteadyNow() + milliseconds(1));
  if (this->down) return Fail(ErrorCode::kStoreUnavailable, "down");
  if (this->faults.empty()) return this->Apply(transaction);
  const char fault = this->faults.front();
  this->faults.erase(0, 1);
  if (fault == 'a') this->Apply(transaction);
  if (fault == 'l') {
    RuntimeOf(task).Spawn([this, transaction](Task& later) {
      SleepUntil(later, SteadyNow() + milliseconds(30));
      this->Apply(transaction);
    });
  }
  return Fail(ErrorCode::kStoreUnavailable, "no answer", "", Ran::kUnknown);
}

Result<std::optional<Row>> StubTable::Read(Task& task, const std::string&, const std::string& key,
                                           TimePoint) {
  SleepUntil(task, SteadyNow() + milliseconds(1));
  if (this->down) return Fail(ErrorCode::kStoreUnavailable, "down");
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? std::optional<Row>() : std::optional<Row>(found->second);
}

StubInstance::StubInstance(Runtime& runtime, StubTable& table, std::string id,
                           std::vector<StubTarget*> targets)
    : targets(std::move(targets)), http(runtime), tracer(1, id, false) {
  this->config =
      json::parse(R"({"drained_targets": {}, "deployments": {"d": {"zones": ["z1"], "services": {
      "model": {"kind": "model_engine",
                "operations": {"generate": {"path": "/v1/generate", "repeatable": true}}},
      "app": {"kind": "app_engine",
              "operations": {"look": {"path": "/look", "repeatable": true},
                             "confirm": {"path": "/confirm", "repeatable": false}}}}}}})");
  this->document = std::make_shared<ConfigDocument>(*ConfigDocument::Decode(1, this->config));
  this->roster = std::make_shared<Roster>(
      1, std::vector<Member>{Member::Builder().SetId("i1").SetZone("z1").Build(),
                             Member::Builder().SetId("i2").SetZone("z1").Build()});
  ClusterView view;
  view.self = id;
  view.zone = "z1";
  view.roster = [this] { return this->roster; };
  view.config = [this] { return this->document; };
  view.holds_lease = [this](TimePoint) { return this->lease; };
  view.epoch = [] { return RowVersion{7}; };
  view.may_serve = [](TimePoint) { return Result<void>(); };
  this->node =
      RoutingNode::Builder(runtime)
          .SetView(view)
          .SetHttpClient(this->http)
          .SetInstanceList(Endpoint{"127.0.0.1", 1})
          .SetCommit([&table](Task& task, const Transaction& transaction, TimePoint deadline) {
            return table.Commit(task, transaction, deadline);
          })
          .SetRead([&table](Task& task, const std::string& name, const std::string& key,
                            TimePoint deadline) { return table.Read(task, name, key, deadline); })
          .SetTracer(this->tracer)
          .SetMetrics(this->metrics)
          .SetSeed(42)
          .SetBroadcastSuspect([this](const std::string& fingerprint, int64_t, int64_t) {
            this->broadcast_fingerprints.push_back(fingerprint);
          })
          .Build();
  this->node->RegisterRoutes(this->router);
  this->UpdateInstanceList();
  this->node->Start();
  this->server = HttpServer::Builder(runtime)
                     .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
                       this->router.Handle(task, request, reply);
                     })
                     .Build();
  this->address = *ParseEndpoint(*this->server->Start());
}

void StubInstance::UpdateInstanceList() {
  json list = json::array();
  for (const StubTarget* target : this->targets) list.push_back(target->ListEntry());
  this->node->Targets().Apply({{"revision", ++this->list_revision}, {"instances", list}});
}

void StubInstance::ApplyConfig() {
  this->document = std::make_shared<ConfigDocument>(
      *ConfigDocument::Decode(this->document->Version() + 1, this->config));
  this->node->OnConfigChange();
}

std::size_t StubInstance::EligibleCount() const {
  std::size_t ready = 0;
  for (const StubTarget* target : this->targets) {
    const auto state = this->node->Targets().Find(target->Id());
    if (state && state->Eligible(SteadyNow())) ++ready;
  }
  return ready;
}

bool StubInstance::WaitEligible(Task& task, std::size_t count) {
  return WaitUntil(task, [&] { return this->EligibleCount() >= count; });
}

Result<HttpResponse> StubInstance::Call(Task& task, const std::string& path,
                                        const std::string& body,
                                        const std::vector<HttpHeaders::Field>& headers) {
  HttpRequest::Builder request;
  request.SetMethod(body.empty() ? "GET" : "POST").SetTarget(path);
  for (const auto& [name, value] : headers) request.SetHeader(name, value);
  if (!body.empty()) request.SetJson(body);
  return this->http.Call(task, this->address, request.Build(),
                         CallOptions(SteadyNow() + seconds(40)).WithFreshConnection());
}

}  // namespace anvilcroft::testing
