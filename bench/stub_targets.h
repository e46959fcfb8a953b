#ifndef BENCH_STUB_TARGETS_H_
#define BENCH_STUB_TARGETS_H_

// Stub model engines, served by listeners in this process. They only report their state, which is
// enough to produce the control traffic between instances and engines; they run no requests.

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "anvilcroft/http_server.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft::bench {

class StubTargets {
 public:
  explicit StubTargets(Runtime& runtime) : runtime(runtime) {}

  // Starts `count` listeners and returns their entries for the platform's instance list. The
  // engines are assigned to `zones` in turn.
  Result<std::vector<nlohmann::json>> Start(int count, const std::string& service,
                                            const std::vector<std::string>& zones);

 private:
  Runtime& runtime;
  std::vector<std::unique_ptr<HttpServer>> servers;
};

}  // namespace anvilcroft::bench

#endif  // BENCH_STUB_TARGETS_H_
