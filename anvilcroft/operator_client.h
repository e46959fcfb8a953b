#ifndef ANVILCROFT_OPERATOR_CLIENT_H_
#define ANVILCROFT_OPERATOR_CLIENT_H_

// What the commands use to call an instance: one request at a time, waiting for the response.
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
  // Tries `instances` in this order; the next is tried only when no connection could be made.
  OperatorClient(std::vector<Endpoint> instances, Duration timeout);

  // The JSON body of a successful response. An error response of the instance becomes the Error it
  // states. An error of the transport carries ran = no for a GET, since nothing was to run.
  Result<nlohmann::json> Get(const std::string& target) const;
  Result<nlohmann::json> Post(const std::string& target, const nlohmann::json& body) const;

 private:
  Result<nlohmann::json> Call(const HttpRequest& request) const;

  std::vector<Endpoint> instances;
  Duration timeout;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_OPERATOR_CLIENT_H_
