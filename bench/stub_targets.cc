#include "bench/stub_targets.h"

namespace anvilcroft::bench {
namespace {

using nlohmann::json;

json EngineStateJson(const std::string& id) {
  return {{"id", id},
          {"instance_start", "run-1"},
          {"model", ""},
          {"adapters", json::array()},
          {"weight_version", 0},
          {"role", "serve"},
          {"swapping", false},
          {"leaving", false},
          {"checks_fencing", true},
          {"last_fencing", 0},
          {"load", {{"running", 0}, {"waiting", 0}, {"kv_free", 1.0}}}};
}

}  // namespace

Result<std::vector<json>> StubTargets::Start(int count, const std::string& service,
                                             const std::vector<std::string>& zones) {
  std::vector<json> entries;
  for (int i = 0; i < count; ++i) {
    const std::string id = "engine-" + std::to_string(i);
    auto server = HttpServer::Builder(this->runtime)
                      .SetHandler([id](Task& task, const HttpRequest&, HttpReply& reply) {
                        reply.Send(task, JsonResponse(200, EngineStateJson(id).dump()));
                      })
                      .Build();
    const auto address = server->Start();
    if (!address) return tl::unexpected<Error>(address.error());
    this->servers.push_back(std::move(server));
    entries.push_back({{"id", id},
                       {"kind", "model_engine"},
                       {"service", service},
                       {"address", *address},
                       {"zone", zones[i % zones.size()]},
                       {"state", "live"}});
  }
  return entries;
}

}  // namespace anvilcroft::bench
