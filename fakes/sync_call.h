#ifndef FAKES_SYNC_CALL_H_
#define FAKES_SYNC_CALL_H_

// Blocking HTTP calls outside of a task, for the setup of demos, benchmarks and tests.

#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/http_response.h"

namespace anvilcroft::fakes {

// Sends a request with `body` (none if null) to "ip:port" and blocks until the response, for at
// most 10 s.
Result<HttpResponse> SyncCall(const std::string& address, const std::string& method,
                              const std::string& target, const nlohmann::json& body = nullptr);

// Like SyncCall, but returns the JSON body of a 200 response. Fails with kBadResponse on any other
// status; the message is the body of the response.
Result<nlohmann::json> SyncJson(const std::string& address, const std::string& method,
                                const std::string& target, const nlohmann::json& body = nullptr);

}  // namespace anvilcroft::fakes

#endif  // FAKES_SYNC_CALL_H_
