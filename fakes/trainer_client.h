#ifndef FAKES_TRAINER_CLIENT_H_
#define FAKES_TRAINER_CLIENT_H_

// The HTTP client of a fake trainer. It asks any instance for addresses, caches them for their time
// to live, and retries each call at the next address until it succeeds.

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"

namespace anvilcroft::fakes {

class TrainerClient {
 public:
  // Timeout of one attempt. An instance waits up to 2 s for samples before it answers a take with
  // none.
  static constexpr Duration kAttemptTimeout = seconds(6);
  static constexpr Duration kBackoff = milliseconds(200);

  // `seed_addresses`: instances to ask first, and again if no other returns addresses.
  TrainerClient(HttpClient& http, std::vector<Endpoint> seed_addresses, std::string service,
                std::string zone);

  // Sends a JSON body and returns the JSON body of the 200 response. The call must be idempotent,
  // because it is retried. Fails with the last error at `deadline`.
  Result<nlohmann::json> Call(Task& task, const std::string& method, const std::string& target,
                              const nlohmann::json& body, TimePoint deadline);

  // Number of attempts beyond the first of each call.
  uint64_t Retries() const { return this->retries; }
  // The error of the last failed attempt, with its method and target.
  const std::string& LastError() const { return this->last_error; }

 private:
  void RefreshAddresses(Task& task);
  Result<nlohmann::json> Attempt(Task& task, const Endpoint& endpoint, const HttpRequest& request,
                                 Duration timeout);

  HttpClient& http;
  std::vector<Endpoint> seed_addresses;
  std::vector<Endpoint> addresses;
  TimePoint addresses_expire_at;
  std::string service;
  std::string zone;
  std::size_t next = 0;
  uint64_t retries = 0;
  std::string last_error;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_TRAINER_CLIENT_H_
