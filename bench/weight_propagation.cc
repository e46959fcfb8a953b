#include "bench/weight_propagation.h"

#include <unistd.h>

#include <functional>

#include "anvilcroft/time.h"
#include "fakes/local_cluster.h"
#include "fakes/sync_call.h"

namespace anvilcroft::bench {
namespace {

using fakes::LocalCluster;
using fakes::SyncJson;
using nlohmann::json;

constexpr Duration kPropagationTimeout = seconds(120);

// Calls `attempt` every 100 ms until it returns true. Returns false after 30 s.
bool Retry(const std::function<bool()>& attempt) {
  const TimePoint limit = SteadyNow() + seconds(30);
  while (SteadyNow() < limit) {
    if (attempt()) return true;
    ::usleep(100000);
  }
  return false;
}

// Publishes `version` and returns the seconds until every engine reports it.
Result<double> MeasurePropagation(LocalCluster& cluster, int64_t version) {
  const std::string& service = cluster.Settings().site.model_service;
  const TimePoint begin = SteadyNow();
  const auto published =
      SyncJson(cluster.Addresses()[0], "POST", "/v1/weights",
               {{"service", service}, {"version", version}, {"uri", "weights/" + service}});
  if (!published) return tl::unexpected<Error>(published.error());
  for (const auto& engine : cluster.ModelEngines()) {
    while (true) {
      const auto state = SyncJson(engine.address, "GET", "/v1/state");
      if (state && state->value("weight_version", int64_t{0}) == version) break;
      if (SteadyNow() - begin > kPropagationTimeout) {
        return Fail(ErrorCode::kDeadlineExceeded,
                    "an engine did not report the new weight version within 120 s", engine.id);
      }
      ::usleep(20000);
    }
  }
  return static_cast<double>(ToMillis(SteadyNow() - begin)) / 1000;
}

}  // namespace

Result<json> MeasureWeightPropagation(const std::string& anvilcroft_binary,
                                      const std::string& fakes_binary, int engines,
                                      int downloads_per_second) {
  LocalCluster::Options options;
  options.anvilcroft_binary = anvilcroft_binary;
  options.fakes_binary = fakes_binary;
  options.site = fakes::KaanchPhera();
  options.site.model_engines = engines;
  options.instances = 4;
  options.engine_arguments = {"--swap-seconds", "0.2"};
  options.weight_downloads_per_second = downloads_per_second;
  LocalCluster cluster(options);
  if (const auto started = cluster.Start(); !started) {
    return tl::unexpected<Error>(started.error());
  }
  json patch = fakes::DeploymentPatch(options.site);
  auto& model =
      patch["deployments"][options.site.deployment]["services"][options.site.model_service];
  model["downloads_per_second"] = downloads_per_second;
  model["swap_seconds"] = 0.5;
  const bool ready = Retry([&] {
    return SyncJson(cluster.Addresses()[0], "POST", "/v1/config/patches",
                    {{"patch_id", "bench"}, {"base", 0}, {"author", "bench"}, {"patch", patch}})
        .has_value();
  });
  if (!ready)
    return Fail(ErrorCode::kNotReady, "the configuration patch was not accepted within 30 s");
  ::sleep(5);
  // The fake engines start with version 1.
  const auto first = MeasurePropagation(cluster, 2);
  if (!first) return tl::unexpected<Error>(first.error());
  const auto second = MeasurePropagation(cluster, 3);
  if (!second) return tl::unexpected<Error>(second.error());
  return json{{"engines", engines},
              {"downloads_per_second", downloads_per_second},
              {"first_s", *first},
              {"second_s", *second}};
}

}  // namespace anvilcroft::bench
