#ifndef BENCH_LIGHT_TARGETS_H_
#define BENCH_LIGHT_TARGETS_H_

// Many model engines that only report their state, as listeners of this process: enough for the
// control traffic between instances and engines, without any work.

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/http_server.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft::bench {

class LightTargets {
 public:
  explicit LightTargets(Runtime& runtime) : runtime(runtime) {}

  // Starts `count` listeners and returns their entries for the instance list.
  Result<std::vector<nlohmann::json>> Start(int count, const std::string& service,
                                            const std::vector<std::string>& zones);

 private:
  Runtime& runtime;
  std::vector<std::unique_ptr<HttpServer>> servers;
};

}  // namespace anvilcroft::bench

#endif  // BENCH_LIGHT_TARGETS_H_
