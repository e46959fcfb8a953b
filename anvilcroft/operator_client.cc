#include "anvilcroft/operator_client.h"

#include <optional>
#include <utility>

#include "anvilcroft/http_client.h"
#include "anvilcroft/json.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {
namespace {

// Returns the error described by the body of an error response, or kInternal with Ran::kUnknown if
// the body is not in the error format.
Error ErrorFromResponse(const HttpResponse& response, const Result<nlohmann::json>& body) {
  Error error{ErrorCode::kInternal,
              "the instance responded with status " + std::to_string(response.Status()), "",
              Ran::kUnknown};
  if (!body || !body->is_object()) return error;
  JsonFields outer(*body, "");
  JsonFields fields(outer.Object("error"), "error");
  const std::string code = fields.String("code");
  const std::string ran = fields.String("ran");
  if (!outer.Ok() || !fields.Ok()) return error;
  error.code = ParseErrorCode(code).value_or(ErrorCode::kInternal);
  error.message = fields.StringOr("message", "", 64 << 10);
  error.part = fields.StringOr("part", "", 64 << 10);
  if (ran == RanName(Ran::kNo)) error.ran = Ran::kNo;
  if (ran == RanName(Ran::kYes)) error.ran = Ran::kYes;
  return error;
}

}  // namespace

OperatorClient::OperatorClient(std::vector<Endpoint> instances, Duration timeout)
    : instances(std::move(instances)), timeout(timeout) {}

Result<nlohmann::json> OperatorClient::Get(const std::string& target) const {
  auto body = this->Call(HttpRequest::Builder().SetTarget(target).Build());
  if (!body && body.error().ran == Ran::kUnknown) {
    return tl::unexpected<Error>(body.error().WithRan(Ran::kNo));
  }
  return body;
}

Result<nlohmann::json> OperatorClient::Post(const std::string& target,
                                            const nlohmann::json& body) const {
  return this->Call(
      HttpRequest::Builder().SetMethod("POST").SetTarget(target).SetJson(DumpJson(body)).Build());
}

Result<nlohmann::json> OperatorClient::Call(const HttpRequest& request) const {
  Runtime runtime;
  HttpClient http(runtime);
  Result<HttpResponse> response = Fail(ErrorCode::kConnectFailed, "no instance address was given");
  runtime.Spawn([&](Task& task) {
    const CallOptions options(SteadyNow() + this->timeout, this->timeout);
    for (const Endpoint& instance : this->instances) {
      response = http.Call(task, instance, request, options);
      if (response || response.error().code != ErrorCode::kConnectFailed) break;
    }
    runtime.Stop();
  });
  runtime.Run();
  if (!response) return tl::unexpected<Error>(response.error());
  auto body = ParseJson(response->Body());
  if (response->Status() >= 400) return tl::unexpected<Error>(ErrorFromResponse(*response, body));
  if (!body) {
    return Fail(ErrorCode::kBadResponse, "the response is not JSON", body.error().part,
                Ran::kUnknown);
  }
  return body;
}

}  // namespace anvilcroft
