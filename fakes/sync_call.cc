#include "fakes/sync_call.h"

#include <optional>

#include "anvilcroft/http_client.h"
#include "anvilcroft/json.h"

namespace anvilcroft::fakes {

Result<HttpResponse> SyncCall(const std::string& address, const std::string& method,
                              const std::string& target, const nlohmann::json& body) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return tl::unexpected<Error>(endpoint.error());
  HttpRequest::Builder request;
  request.SetMethod(method).SetTarget(target);
  if (!body.is_null()) request.SetJson(DumpJson(body));

  Runtime runtime;
  HttpClient http(runtime);
  std::optional<Result<HttpResponse>> response;
  runtime.Spawn([&](Task& task) {
    response = http.Call(task, *endpoint, request.Build(), CallOptions(SteadyNow() + seconds(10)));
    runtime.Stop();
  });
  runtime.Run();
  return *response;
}

Result<nlohmann::json> SyncJson(const std::string& address, const std::string& method,
                                const std::string& target, const nlohmann::json& body) {
  const auto response = SyncCall(address, method, target, body);
  if (!response) return tl::unexpected<Error>(response.error());
  if (response->Status() != 200) {
    return Fail(ErrorCode::kBadResponse, response->Body(), method + " " + target);
  }
  // Not ParseJson, which is for untrusted input: the logs of fakes are trusted and may be larger
  // than what a service accepts from outside.
  return nlohmann::json::parse(response->Body(), nullptr, false);
}

}  // namespace anvilcroft::fakes
