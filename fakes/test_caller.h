#ifndef FAKES_TEST_CALLER_H_
#define FAKES_TEST_CALLER_H_

// A caller that follows the published protocol. It asks any instance for addresses, caches them for
// their time to live and sends each request to a random one. After a failed attempt it requests the
// addresses again and retries with the same idempotency key, unless the error rejects the input.

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
  // `known_addresses`: "ip:port" of instances, some of which may have stopped.
  TestCaller(HttpClient& http, std::vector<std::string> known_addresses, std::string zone,
             uint64_t seed);

  // Requests `max_tokens` tokens from a model, as a stream or as a whole answer, and returns the
  // text. The errors are those of Call; a stream without its last event is kConnectionLost.
  Result<std::string> Generate(Task& task, const std::string& service, const std::string& prompt,
                               int64_t max_tokens, bool stream, TimePoint deadline);

  // Calls an operation of an app engine and returns the body of the answer. `key` is the
  // idempotency key; empty for repeatable operations. Retries until `deadline` or an error that
  // rejects the input. The error is that of the last attempt, with `ran` = kUnknown if any attempt
  // may have run.
  Result<std::string> Call(Task& task, const std::string& service, const std::string& operation,
                           const std::string& body, const std::string& key, TimePoint deadline);

  // Failed attempts and address requests whose error was not final.
  int64_t Retries() const { return this->retries; }
  // Connections or streams that ended before the whole answer was received.
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
