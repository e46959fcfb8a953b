#include "anvilcroft/http_response.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace anvilcroft {

HttpResponse::Builder& HttpResponse::Builder::SetStatus(int status) {
  this->response.status = status;
  return *this;
}

HttpResponse::Builder& HttpResponse::Builder::SetHeaders(HttpHeaders headers) {
  this->response.headers = std::move(headers);
  return *this;
}

HttpResponse::Builder& HttpResponse::Builder::SetHeader(std::string name, std::string value) {
  this->response.headers = this->response.headers.With(std::move(name), std::move(value));
  return *this;
}

HttpResponse::Builder& HttpResponse::Builder::SetBody(SharedBody body) {
  this->response.body = std::move(body);
  return *this;
}

HttpResponse::Builder& HttpResponse::Builder::SetJson(std::string body) {
  this->SetHeader("Content-Type", "application/json");
  return this->SetBody(std::move(body));
}

HttpResponse JsonResponse(int status, std::string body) {
  return HttpResponse::Builder().SetStatus(status).SetJson(std::move(body)).Build();
}

HttpResponse ErrorResponse(const Error& error) {
  const nlohmann::json body = {{"error",
                                {{"code", ErrorCodeName(error.code)},
                                 {"message", error.message},
                                 {"part", error.part},
                                 {"ran", RanName(error.ran)}}}};
  // The error may quote input with invalid UTF-8, which is replaced; by default, dump throws.
  const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return HttpResponse::Builder()
      .SetStatus(HttpStatusOf(error.code))
      .SetHeader("X-Ran", RanName(error.ran))
      .SetJson(text)
      .Build();
}

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kKeyRequired:
      return 400;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kStaleBase:
      return 409;
    case ErrorCode::kStaleVersion:
      return 409;
    case ErrorCode::kOldFencing:
      return 409;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kInvalidPatch:
      return 422;
    case ErrorCode::kKeyReused:
      return 422;
    case ErrorCode::kCrashesTargets:
      return 422;
    case ErrorCode::kCancelled:
      return 499;
    case ErrorCode::kInternal:
      return 500;
    case ErrorCode::kOutcomeUnknown:
      return 502;
    case ErrorCode::kBadResponse:
      return 502;
    case ErrorCode::kConnectionLost:
      return 502;
    case ErrorCode::kConnectFailed:
      return 503;
    case ErrorCode::kOverloaded:
      return 503;
    case ErrorCode::kNoTarget:
      return 503;
    case ErrorCode::kIsolated:
      return 503;
    case ErrorCode::kNotReady:
      return 503;
    case ErrorCode::kNoLease:
      return 503;
    case ErrorCode::kStoreUnavailable:
      return 503;
    case ErrorCode::kLeaving:
      return 503;
    case ErrorCode::kSwapFailed:
      return 503;
    case ErrorCode::kDeadlineExceeded:
      return 504;
  }
  return 500;
}

}  // namespace anvilcroft
