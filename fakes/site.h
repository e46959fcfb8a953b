#ifndef FAKES_SITE_H_
#define FAKES_SITE_H_

// The names and sizes of a user's site, as specified in docs/design.md.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilcroft::fakes {

struct Site {
  std::string deployment;
  std::vector<std::string> zones;
  std::string model_service;
  std::string judge_service;
  std::string app_service;
  std::string repeatable_operation;  // of the app service; may be executed more than once
  std::string single_run_operation;  // of the app service; must not be executed more than once
  int model_engines = 0;
  int app_engines = 0;
};

Site KaanchPhera();
Site Shoreline();

// Returns the merge patch that creates the deployment of the site.
nlohmann::json DeploymentPatch(const Site& site);

}  // namespace anvilcroft::fakes

#endif  // FAKES_SITE_H_
