#include "fakes/fake_app.h"

#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/json.h"

namespace anvilcroft::fakes {

using nlohmann::json;

FakeApp::FakeApp(const Builder& builder)
    : server(builder.runtime, builder.address), delay(builder.delay), on_crash(builder.on_crash) {
  this->server.SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
    this->Handle(task, request, reply);
  });
  this->server.SetLog([this](const HttpRequest&) { return json{{"runs", this->runs}}; });
  this->server.ControlRoutes().Add(
      "POST", "/control/leave",
      [this](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
        this->Leave();
        reply.Send(task, JsonResponse(200, "{}"));
      });
}

void FakeApp::Crash() {
  this->server.Crash();
  if (this->on_crash) this->on_crash();
}

void FakeApp::Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
  if (request.Method() != "POST") {
    reply.Send(task, ErrorResponse(Error{ErrorCode::kNotFound, "the app accepts only POST",
                                         request.Method(), Ran::kNo}));
    return;
  }
  if (this->leaving) {
    reply.Send(
        task, ErrorResponse(Error{ErrorCode::kLeaving, "the app is leaving and accepts no new work",
                                  "", Ran::kNo}));
    return;
  }
  std::string request_id(request.Headers().Find("X-Request-Id"));
  const std::size_t run = this->runs.size() + 1;
  this->runs.push_back({{"run", run},
                        {"path", request.Path()},
                        {"key", std::string(request.Headers().Find("Idempotency-Key"))},
                        {"request_id", request_id},
                        {"body", request.Body()},
                        {"at_ms", this->server.ElapsedMillis()}});
  if (request.Body().find("CRASH_TARGET") != std::string::npos) {
    this->Crash();
    return reply.Abort();
  }
  // Reads the faults after the run is logged, so that they apply to the answer of this run.
  FaultPlan& faults = this->server.Faults();
  const bool lost = FaultPlan::ConsumeOne(faults.lose_answers);
  const bool silent = FaultPlan::ConsumeOne(faults.silent_after_run);
  if (FaultPlan::ConsumeOne(faults.wrong_request_id)) request_id = "not-" + request_id;
  const Duration wait = this->delay + milliseconds(faults.late_answers_ms);
  if (wait > Duration::zero() && !this->server.Delay(task, wait)) return reply.Abort();
  if (lost) return reply.Abort();
  if (silent) return this->server.HoldUnanswered(task, reply);
  const json body = {
      {"result", {{"path", request.Path()}, {"digest", HexDigest(request.Body())}, {"run", run}}},
      {"request_id", request_id}};
  reply.Send(task, HttpResponse::Builder()
                       .SetHeader("X-Request-Id", request_id)
                       .SetJson(DumpJson(body))
                       .Build());
}

FakeApp::Builder& FakeApp::Builder::SetAddress(std::string value) {
  this->address = std::move(value);
  return *this;
}

FakeApp::Builder& FakeApp::Builder::SetDelay(Duration value) {
  this->delay = value;
  return *this;
}

FakeApp::Builder& FakeApp::Builder::SetOnCrash(std::function<void()> value) {
  this->on_crash = std::move(value);
  return *this;
}

std::unique_ptr<FakeApp> FakeApp::Builder::Build() const {
  return std::unique_ptr<FakeApp>(new FakeApp(*this));
}

}  // namespace anvilcroft::fakes
