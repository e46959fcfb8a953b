#include "fakes/site.h"

namespace anvilcroft::fakes {

Site KaanchPhera() {
  return Site{"kaanch-phera",
              {"ahmedabad", "vadodara", "rajkot"},
              "route-model",
              "route-judge",
              "rounds-app",
              "plan",
              "weigh-slip",
              8,
              3};
}

Site Shoreline() {
  return Site{"shoreline",
              {"lakes-east-a", "lakes-east-b", "lakes-east-c"},
              "rota-assistant",
              "rota-judge",
              "chairwatch-app",
              "lookup",
              "rota-confirmation",
              9,
              7};
}

nlohmann::json DeploymentPatch(const Site& site) {
  const auto operation = [](const std::string& name, bool repeatable) {
    return nlohmann::json{{"path", "/" + name}, {"repeatable", repeatable}};
  };
  const nlohmann::json services = {
      {site.model_service,
       {{"kind", "model_engine"},
        {"operations", {{"generate", {{"path", "/v1/generate"}, {"repeatable", true}}}}},
        {"downloads_per_second", 8},
        {"swap_seconds", 0.2},
        {"model", site.model_service}}},
      {site.judge_service,
       {{"kind", "judge"},
        {"operations", {{"judge", {{"path", "/v1/judge"}, {"repeatable", true}}}}}}},
      {site.app_service,
       {{"kind", "app_engine"},
        {"operations",
         {{site.repeatable_operation, operation(site.repeatable_operation, true)},
          {site.single_run_operation, operation(site.single_run_operation, false)}}}}}};
  return {{"deployments", {{site.deployment, {{"zones", site.zones}, {"services", services}}}}}};
}

}  // namespace anvilcroft::fakes
