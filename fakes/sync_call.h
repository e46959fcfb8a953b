#ifndef FAKES_SYNC_CALL_H_
#define FAKES_SYNC_CALL_H_

// One HTTP call outside any task, for the set-up of demos, benchmarks and tests.

#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/http_response.h"

namespace anvilcroft::fakes {

// Sends `body` (null: none) to "ip:port" and blocks for the response, at most 10 s.
Result<HttpResponse> SyncCall(const std::string& address, const std::string& method,
                              const std::string& target, const nlohmann::json& body = nullptr);

// As SyncCall, for a 200 response with a JSON body; any other status is kBadResponse.
Result<nlohmann::json> SyncJson(const std::string& address, const std::string& method,
                                const std::string& target, const nlohmann::json& body = nullptr);

}  // namespace anvilcroft::fakes

#endif  // FAKES_SYNC_CALL_H_
