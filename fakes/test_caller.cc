#include "fakes/test_caller.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft::fakes {
namespace {

using nlohmann::json;

constexpr Duration kRetryDelay = milliseconds(50);

tl::unexpected<Error> DecodeErrorBody(const HttpResponse& response) {
  const json body = json::parse(response.Body(), nullptr, false);
  const json error = body.is_object() ? body.value("error", json::object()) : json::object();
  const std::string ran = error.value("ran", "unknown");
  return Fail(ErrorCode::kBadResponse, error.value("code", response.Body()),
              error.value("message", ""),
              ran == "no" ? Ran::kNo : (ran == "yes" ? Ran::kYes : Ran::kUnknown));
}

// Returns the text of a stream of server-sent events. Fails with kConnectionLost if the last event
// is missing.
Result<std::string> JoinEvents(const std::string& events) {
  std::istringstream in(events);
  std::string line;
  std::string text;
  int64_t expected_index = 0;
  while (std::getline(in, line)) {
    if (line.rfind("data: ", 0) != 0) continue;
    const json event = json::parse(line.substr(6), nullptr, false);
    if (!event.is_object()) return Fail(ErrorCode::kBadResponse, "malformed event", line);
    if (event.value("done", false)) return text;
    if (event.value("index", -1) != expected_index++) {
      return Fail(ErrorCode::kBadResponse, "event index is out of sequence", line);
    }
    text += event.value("text", "");
  }
  return Fail(ErrorCode::kConnectionLost, "the stream ended before its last event", "",
              Ran::kUnknown);
}

}  // namespace

TestCaller::TestCaller(HttpClient& http, std::vector<std::string> known_addresses, std::string zone,
                       uint64_t seed)
    : http(http),
      known_addresses(std::move(known_addresses)),
      zone(std::move(zone)),
      random(seed) {}

Result<Endpoint> TestCaller::PickAddress(Task& task, const std::string& service,
                                         TimePoint deadline) {
  const TimePoint now = SteadyNow();
  if (this->addresses.empty() || now >= this->addresses_expire_at) {
    this->addresses.clear();
    std::vector<std::string> shuffled = this->known_addresses;
    std::shuffle(shuffled.begin(), shuffled.end(), this->random);
    for (const std::string& address : shuffled) {
      const auto request = HttpRequest::Builder()
                               .SetTarget("/v1/addresses?service=" + PercentEncode(service) +
                                          "&zone=" + PercentEncode(this->zone))
                               .Build();
      const auto response =
          this->http.Call(task, *ParseEndpoint(address), request,
                          CallOptions(std::min(deadline, now + seconds(2))).WithResend());
      if (!response || response->Status() != 200) continue;
      const json body = json::parse(response->Body(), nullptr, false);
      for (const json& item : body.value("addresses", json::array())) {
        this->addresses.push_back(item.value("address", ""));
      }
      this->addresses_expire_at = now + milliseconds(body.value("ttl_ms", 1000));
      if (!this->addresses.empty()) break;
    }
  }
  if (this->addresses.empty()) {
    return Fail(ErrorCode::kConnectFailed, "no instance returned addresses");
  }
  return ParseEndpoint(this->addresses[this->random() % this->addresses.size()]);
}

Result<std::string> TestCaller::Attempt(Task& task, const Endpoint& endpoint,
                                        const HttpRequest& request, TimePoint deadline) {
  const auto response =
      this->http.Call(task, endpoint, request, CallOptions(deadline, seconds(60)));
  if (!response) {
    if (response.error().ran != Ran::kNo) ++this->broken_answers;
    return tl::unexpected<Error>(response.error());
  }
  if (response->Status() != 200) return DecodeErrorBody(*response);
  if (response->Headers().Find("Content-Type") == "text/event-stream") {
    auto text = JoinEvents(response->Body());
    if (!text) ++this->broken_answers;
    return text;
  }
  return response->Body();
}

Result<std::string> TestCaller::Generate(Task& task, const std::string& service,
                                         const std::string& prompt, int64_t max_tokens, bool stream,
                                         TimePoint deadline) {
  const json body = {{"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", stream}};
  auto answer = this->Call(task, service, "generate", DumpJson(body), "", deadline);
  if (!answer || stream) return answer;
  const json parsed = json::parse(*answer, nullptr, false);
  if (!parsed.is_object()) return Fail(ErrorCode::kBadResponse, "the answer is not a JSON object");
  return parsed.value("text", "");
}

Result<std::string> TestCaller::Call(Task& task, const std::string& service,
                                     const std::string& operation, const std::string& body,
                                     const std::string& key, TimePoint deadline) {
  Result<std::string> outcome =
      Fail(ErrorCode::kDeadlineExceeded, "the deadline passed before the first attempt");
  bool may_have_run = false;
  while (SteadyNow() < deadline) {
    const auto endpoint = this->PickAddress(task, service, deadline);
    if (endpoint) {
      HttpRequest::Builder request;
      request.SetMethod("POST")
          .SetTarget("/v1/services/" + PercentEncode(service) + "/" + PercentEncode(operation))
          .SetHeader("X-Deadline-Ms", std::to_string(ToMillis(deadline - SteadyNow())))
          .SetJson(body);
      if (!key.empty()) request.SetHeader("Idempotency-Key", key);
      outcome = this->Attempt(task, *endpoint, request.Build(), deadline);
      if (outcome) return outcome;
      // An unknown outcome may be retried: either the key is the same, or the operation is
      // repeatable and has no key. An error that rejects the input itself is final.
      may_have_run = may_have_run || outcome.error().ran != Ran::kNo;
      if (outcome.error().message == "key_reused" ||
          outcome.error().message == "request_crashes_targets" ||
          outcome.error().message == "invalid_argument") {
        break;
      }
    } else {
      outcome = tl::unexpected<Error>(endpoint.error());
    }
    ++this->retries;
    this->addresses.clear();
    SleepUntil(task, SteadyNow() + kRetryDelay);
  }
  if (!outcome && may_have_run) {
    return tl::unexpected<Error>(outcome.error().WithRan(Ran::kUnknown));
  }
  return outcome;
}

}  // namespace anvilcroft::fakes
