#ifndef ANVILCROFT_OPERATOR_CLIENT_H_
#define ANVILCROFT_OPERATOR_CLIENT_H_

// A blocking client for the operator API of an instance, used by the commands.
//
//   OperatorClient client({endpoint_a, endpoint_b}, seconds(10));
//   Result<nlohmann::json> members = client.Get("/v1/members");

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_request.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class OperatorClient {
 public:
  // Requests go to the first of `instances`; the next one is tried only if no connection could be
  // made. `timeout` bounds a whole request.
  OperatorClient(std::vector<Endpoint> instances, Duration timeout);

  // Send a request and return the JSON body of a successful response. An error response is returned
  // as the Error that its body describes. For Get, an unknown outcome is reported as Ran::kNo,
  // because a GET request executes no work.
  Result<nlohmann::json> Get(const std::string& target) const;
  Result<nlohmann::json> Post(const std::string& target, const nlohmann::json& body) const;

 private:
  Result<nlohmann::json> Call(const HttpRequest& request) const;

  std::vector<Endpoint> instances;
  Duration timeout;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_OPERATOR_CLIENT_H_
