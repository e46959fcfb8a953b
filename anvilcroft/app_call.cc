#include "anvilcroft/app_call.h"

#include "anvilcroft/engine_call.h"

namespace anvilcroft {

Result<HttpResponse> CallApp(Task& task, HttpClient& http, const Endpoint& endpoint,
                             const AppCall& call, const CallOptions& options) {
  HttpRequest::Builder request;
  request.SetMethod("POST").SetTarget(call.path).SetHeader("X-Request-Id", call.request_id);
  if (!call.idempotency_key.empty()) request.SetHeader("Idempotency-Key", call.idempotency_key);
  if (call.trace.Valid()) request.SetHeader("traceparent", call.trace.ToHeader());
  request.SetJson(call.body);
  auto response =
      http.Call(task, endpoint, request.Build(), options.WithRequestId(call.request_id));
  if (!response) return response;
  const std::string_view id = response->Headers().Find("X-Request-Id");
  if (response->Status() == 503 && (id.empty() || id == call.request_id)) {
    const Error refusal = ParseRefusal(response->Body());
    if (refusal.code == ErrorCode::kLeaving) return tl::unexpected<Error>(refusal);
  }
  if (id != call.request_id && (call.id_required || !id.empty())) {
    return Fail(ErrorCode::kBadResponse, "the response does not carry the request's id",
                "X-Request-Id", Ran::kUnknown);
  }
  return response;
}

}  // namespace anvilcroft
