#ifndef FAKES_TEST_CALLER_H_
#define FAKES_TEST_CALLER_H_

// A caller that follows the published protocol: it asks any instance for addresses, keeps the
// answer for its time to live, connects to one of the addresses, tries another after a refusal
// that says "not run" or a failed connection, and repeats an unknown outcome with the same
// idempotency key.

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft::fakes {

class TestCaller {
 public:
  // `known` are addresses of instances, some of which may have stopped.
  TestCaller(HttpClient& http, std::vector<std::string> known_addresses, std::string zone,
             uint64_t seed);

  // Asks a model for `max_tokens` tokens, as a stream or whole, and returns the text. A broken or
  // incomplete stream is kConnectionLost.
  Result<std::string> Generate(Task& task, const std::string& service, const std::string& prompt,
                               int64_t max_tokens, bool stream, TimePoint deadline);

  // Calls an operation of an app engine. `key` is the idempotency key, empty for repeatable
  // operations. Returns the body. The error's `ran` is what the system said.
  Result<std::string> Call(Task& task, const std::string& service, const std::string& operation,
                           const std::string& body, const std::string& key, TimePoint deadline);

  // Attempts that were answered by a refusal or a failed connection and made again.
  int64_t Retries() const { return this->retries; }
  // Connections that broke, or streams that ended, before the whole answer had come.
  int64_t BrokenAnswers() const { return this->broken_answers; }

 private:
  Result<Endpoint> PickAddress(Task& task, const std::string& service, TimePoint deadline);
  Result<std::string> Attempt(Task& task, const Endpoint& endpoint, const HttpRequest& request,
                              TimePoint deadline);

  HttpClient& http;
  std::vector<std::string> known_addresses;
  std::string zone;
  std::mt19937_64 random;
  std::vector<std::string> addresses;
  TimePoint addresses_expire_at;
  int64_t retries = 0;
  int64_t broken_answers = 0;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_TEST_CALLER_H_
