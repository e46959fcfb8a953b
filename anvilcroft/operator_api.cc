#include "anvilcroft/operator_api.h"

#include <map>

#include "anvilcroft/json.h"
#include "anvilcroft/log.h"
#include "anvilcroft/process_stats.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr char kPart[] = "operator";

json DescribeService(const ServiceConfig& service) {
  json operations = json::array();
  for (const auto& [name, operation] : service.Operations()) {
    operations.push_back(
        {{"operation", name}, {"path", operation.path}, {"repeatable", operation.repeatable}});
  }
  return {{"service", service.Name()},
          {"kind", TargetKindName(service.Kind())},
          {"operations", std::move(operations)}};
}

}  // namespace

json DescribeDeployments(const ConfigDocument& config) {
  std::map<std::string, json> services;
  for (const auto& [name, service] : config.Services()) {
    services[service.Deployment()].push_back(DescribeService(service));
  }
  json deployments = json::array();
  for (const auto& [name, body] : config.Json().at("deployments").items()) {
    const auto found = services.find(name);
    deployments.push_back({{"deployment", name},
                           {"zones", config.ZonesOf(name)},
                           {"services", found == services.end() ? json::array() : found->second}});
  }
  return {{"config_version", config.Version()}, {"deployments", std::move(deployments)}};
}

void OperatorApi::RegisterRoutes(HttpRouter& router) const {
  router.Add("GET", "/healthz",
             [](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
               reply.Send(task, JsonResponse(200, DumpJson({{"status", "ok"}})));
             });
  router.Add(
      "GET", "/readyz",
      [ready = this->ready](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
        if (ready()) {
          reply.Send(task, JsonResponse(200, DumpJson({{"ready", true}})));
        } else {
          reply.Send(task, ErrorResponse(Error{ErrorCode::kNotReady,
                                               "the instance does not accept new requests", "",
                                               Ran::kNo}));
        }
      });
  router.Add("GET", "/metrics",
             [metrics = this->metrics](Task& task, const HttpRequest&, const PathParts&,
                                       HttpReply& reply) {
               reply.Send(task, HttpResponse::Builder()
                                    .SetHeader("Content-Type", "text/plain; version=0.0.4")
                                    .SetBody(metrics->Render() + ReadProcessStats().Render())
                                    .Build());
             });
  router.Add(
      "POST", "/v1/admin/drain",
      [drain = this->drain](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
        LogInfo(kPart, "an operator requested a drain; starting the graceful shutdown");
        drain();
        reply.Send(task, JsonResponse(202, DumpJson({{"state", "leaving"}})));
      });
  router.Add("GET", "/v1/deployments",
             [config = this->view.config](Task& task, const HttpRequest&, const PathParts&,
                                          HttpReply& reply) {
               const auto document = config();
               reply.Send(task, JsonResponse(200, DumpJson(DescribeDeployments(*document))));
             });
}

OperatorApi::Builder& OperatorApi::Builder::SetReady(std::function<bool()> ready) {
  this->api.ready = std::move(ready);
  return *this;
}

OperatorApi::Builder& OperatorApi::Builder::SetDrain(std::function<void()> drain) {
  this->api.drain = std::move(drain);
  return *this;
}

}  // namespace anvilcroft
