#include "anvilcroft/object_client.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"

namespace anvilcroft {
namespace {

CallOptions OptionsUntil(TimePoint deadline) {
  const TimePoint limit = SteadyNow() + ObjectClient::kAttemptTimeout;
  return CallOptions(std::min(deadline, limit), ObjectClient::kAttemptTimeout).WithResend();
}

std::string ObjectPath(const std::string& key) { return "/v1/objects/" + PercentEncode(key); }

tl::unexpected<Error> UnavailableError(const std::string& message, Ran ran) {
  return Fail(ErrorCode::kStoreUnavailable, "object store: " + message, "", ran);
}

}  // namespace

ObjectClient::ObjectClient(HttpClient& http, Endpoint endpoint)
    : http(http), endpoint(std::move(endpoint)) {}

Result<std::string> ObjectClient::Put(Task& task, const std::string& content, TimePoint deadline) {
  std::string key = "output-" + HexDigest(content);
  const auto request = HttpRequest::Builder()
                           .SetMethod("PUT")
                           .SetTarget(ObjectPath(key))
                           .SetHeader("Content-Type", "application/octet-stream")
                           .SetBody(content)
                           .Build();
  const auto response = this->http.Call(task, this->endpoint, request, OptionsUntil(deadline));
  if (!response) return UnavailableError(response.error().message, response.error().ran);
  if (response->Status() / 100 != 2) {
    return UnavailableError("status " + std::to_string(response->Status()), Ran::kUnknown);
  }
  return key;
}

Result<std::string> ObjectClient::Get(Task& task, const std::string& key, TimePoint deadline) {
  const auto request = HttpRequest::Builder().SetTarget(ObjectPath(key)).Build();
  const auto response = this->http.Call(task, this->endpoint, request, OptionsUntil(deadline));
  if (!response) return UnavailableError(response.error().message, Ran::kNo);
  if (response->Status() != 200) {
    return UnavailableError("status " + std::to_string(response->Status()), Ran::kNo);
  }
  // Truncated content, or the content of another object, must not be delivered with the weight
  // versions of this object.
  if ("output-" + HexDigest(response->Body()) != key) {
    return UnavailableError("the object's content does not match its key", Ran::kNo);
  }
  return response->Body();
}

}  // namespace anvilcroft
