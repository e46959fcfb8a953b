#ifndef FAKES_SITE_H_
#define FAKES_SITE_H_

// The sizes and names of one user's site, as docs/design.md states them.

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
  std::string repeatable_operation;
  std::string single_run_operation;
  int model_engines = 0;
  int app_engines = 0;
};

Site KaanchPhera();
Site Shoreline();

// The merge patch that creates the site's deployment.
nlohmann::json DeploymentPatch(const Site& site);

}  // namespace anvilcroft::fakes

#endif  // FAKES_SITE_H_
