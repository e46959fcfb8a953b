#include "fakes/trainer_client.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft::fakes {

using nlohmann::json;

TrainerClient::TrainerClient(HttpClient& http, std::vector<Endpoint> seed_addresses,
                             std::string service, std::string zone)
    : http(http),
      seed_addresses(std::move(seed_addresses)),
      service(std::move(service)),
      zone(std::move(zone)) {
  ANVILCROFT_CHECK(!this->seed_addresses.empty());
  this->addresses = this->seed_addresses;
}

Result<json> TrainerClient::Attempt(Task& task, const Endpoint& endpoint,
                                    const HttpRequest& request, Duration timeout) {
  const auto response =
      this->http.Call(task, endpoint, request, CallOptions(SteadyNow() + timeout));
  if (!response) return tl::unexpected<Error>(response.error());
  if (response->Status() != 200) {
    return Fail(ErrorCode::kBadResponse, "status " + std::to_string(response->Status()) + ": " +
                                             response->Body().substr(0, 300));
  }
  return ParseJson(response->Body());
}

void TrainerClient::RefreshAddresses(Task& task) {
  const auto request = HttpRequest::Builder()
                           .SetTarget("/v1/addresses?service=" + PercentEncode(this->service) +
                                      "&zone=" + PercentEncode(this->zone))
                           .Build();
  std::vector<Endpoint> candidates = this->addresses;
  candidates.insert(candidates.end(), this->seed_addresses.begin(), this->seed_addresses.end());
  for (const Endpoint& endpoint : candidates) {
    const auto answer = this->Attempt(task, endpoint, request, seconds(2));
    if (!answer) continue;
    JsonFields fields(*answer, "addresses");
    std::vector<Endpoint> found;
    for (const json& item : fields.Array("addresses", 1000)) {
      const auto parsed = ParseEndpoint(JsonFields(item, "addresses").StringOr("address", ""));
      if (parsed) found.push_back(*parsed);
    }
    const int64_t ttl_ms = fields.IntegerOr("ttl_ms", 5000, 1, 3600 * 1000);
    if (found.empty()) continue;
    this->addresses = std::move(found);
    this->addresses_expire_at = SteadyNow() + milliseconds(ttl_ms);
    return;
  }
  this->addresses = this->seed_addresses;
  this->addresses_expire_at = SteadyNow() + seconds(1);
}

Result<json> TrainerClient::Call(Task& task, const std::string& method, const std::string& target,
                                 const json& body, TimePoint deadline) {
  // The instance's deadline is 1 s shorter than the client's timeout, so that its error response
  // still arrives.
  const auto server_limit_ms = std::to_string(ToMillis(kAttemptTimeout) - 1000);
  const auto request = HttpRequest::Builder()
                           .SetMethod(method)
                           .SetTarget(target)
                           .SetHeader("X-Deadline-Ms", server_limit_ms)
                           .SetJson(DumpJson(body))
                           .Build();
  for (bool first = true;; first = false) {
    if (!first) ++this->retries;
    if (SteadyNow() >= this->addresses_expire_at) this->RefreshAddresses(task);
    const Endpoint endpoint = this->addresses[this->next % this->addresses.size()];
    auto answer = this->Attempt(task, endpoint, request, kAttemptTimeout);
    if (answer) return answer;
    this->last_error = method + " " + target + ": " + answer.error().message;
    ++this->next;
    if (SteadyNow() + kBackoff >= deadline) return answer;
    SleepUntil(task, SteadyNow() + kBackoff);
  }
}

}  // namespace anvilcroft::fakes
