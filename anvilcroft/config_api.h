#ifndef ANVILCROFT_CONFIG_API_H_
#define ANVILCROFT_CONFIG_API_H_

// The operators' interface to the configuration: POST /v1/config/patches, GET /v1/config and
// GET /v1/config/patches/{version}.

#include "anvilcroft/configuration.h"
#include "anvilcroft/http_router.h"

namespace anvilcroft {

class ConfigApi {
 public:
  // Time limit for accepting one patch without X-Deadline-Ms, and the longest one it can set.
  static constexpr Duration kPatchDeadline = seconds(10);
  static constexpr Duration kMaxPatchDeadline = seconds(60);

  explicit ConfigApi(Configuration& configuration) : configuration(configuration) {}

  void RegisterRoutes(HttpRouter& router);

 private:
  HttpResponse Patch(Task& task, const HttpRequest& request);
  HttpResponse Current() const;
  HttpResponse Entry(Task& task, const std::string& version);

  Configuration& configuration;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CONFIG_API_H_
