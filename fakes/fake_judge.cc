#include "fakes/fake_judge.h"

#include <utility>

#include "anvilcroft/json.h"
#include "fakes/expected_text.h"

namespace anvilcroft::fakes {

using nlohmann::json;

FakeJudge::FakeJudge(const Builder& builder)
    : server(builder.runtime, builder.address), delay(builder.delay) {
  this->server.Routes().Add(
      "POST", "/v1/judge",
      JsonRoute([this](Task& task, const json& body, const HttpRequest& request, HttpReply& reply) {
        this->Handle(task, body, request, reply);
      }));
  this->server.SetLog([this](const HttpRequest&) { return json{{"judged", this->judged}}; });
}

void FakeJudge::Handle(Task& task, const json& body, const HttpRequest& request, HttpReply& reply) {
  JsonFields fields(body, "");
  const std::string output = fields.StringOr("output", "", 1 << 20);
  const std::string sample = fields.StringOr("sample", "");
  if (!fields.Ok()) {
    reply.Send(task, ErrorResponse(fields.Finish().error()));
    return;
  }
  const double reward = ExpectedReward(output);
  this->judged.push_back(
      {{"sample", sample}, {"reward", reward}, {"at_ms", this->server.ElapsedMillis()}});
  FaultPlan& faults = this->server.Faults();
  const bool lost = FaultPlan::ConsumeOne(faults.lose_answers);
  const Duration wait = this->delay + milliseconds(faults.late_answers_ms);
  if (wait > Duration::zero() && !this->server.Delay(task, wait)) return reply.Abort();
  if (lost) return reply.Abort();
  reply.Send(task,
             HttpResponse::Builder()
                 .SetHeader("X-Request-Id", std::string(request.Headers().Find("X-Request-Id")))
                 .SetJson(DumpJson({{"reward", reward}}))
                 .Build());
}

FakeJudge::Builder& FakeJudge::Builder::SetAddress(std::string value) {
  this->address = std::move(value);
  return *this;
}

FakeJudge::Builder& FakeJudge::Builder::SetDelay(Duration value) {
  this->delay = value;
  return *this;
}

std::unique_ptr<FakeJudge> FakeJudge::Builder::Build() const {
  return std::unique_ptr<FakeJudge>(new FakeJudge(*this));
}

}  // namespace anvilcroft::fakes
