#ifndef ANVILCROFT_OPERATOR_API_H_
#define ANVILCROFT_OPERATOR_API_H_

// HTTP routes for operators that no other component provides: health, readiness, metrics, drain and
// the list of deployments.
//
//   OperatorApi operators = OperatorApi::Builder(view, metrics)
//       .SetReady([&] { return life_cycle.Serving(); })
//       .SetDrain([&] { life_cycle.Drain(); })
//       .Build();
//   operators.RegisterRoutes(router);
//
// GET /healthz returns 200 while the process runs its tasks. GET /readyz returns 200, or 503 with
// the error code not_ready. POST /v1/admin/drain returns 202 and may be repeated.

#include <functional>
#include <utility>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/metrics.h"

namespace anvilcroft {

class OperatorApi {
 public:
  class Builder;

  // Registers the routes. The metrics and the objects that the view refers to must outlive the
  // router.
  void RegisterRoutes(HttpRouter& router) const;

 private:
  OperatorApi(ClusterView view, const Metrics& metrics)
      : view(std::move(view)), metrics(&metrics) {}

  ClusterView view;
  const Metrics* metrics;
  std::function<bool()> ready = [] { return true; };
  std::function<void()> drain = [] {};
};

class OperatorApi::Builder {
 public:
  Builder(ClusterView view, const Metrics& metrics) : api(std::move(view), metrics) {}

  // Whether the instance accepts new requests. Default: always true.
  Builder& SetReady(std::function<bool()> ready);
  // Starts the graceful shutdown; may be called more than once. Default: does nothing.
  Builder& SetDrain(std::function<void()> drain);

  OperatorApi Build() const { return this->api; }

 private:
  OperatorApi api;
};

// The body of GET /v1/deployments: {config_version, deployments: [{deployment, zones, services:
// [{service, kind, operations: [{operation, path, repeatable}]}]}]}.
nlohmann::json DescribeDeployments(const ConfigDocument& config);

}  // namespace anvilcroft

#endif  // ANVILCROFT_OPERATOR_API_H_
