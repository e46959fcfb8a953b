#include "bench/control_cost.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include "anvilcroft/event.h"
#include "fakes/sync_call.h"

namespace anvilcroft::bench {
namespace {

using fakes::LocalCluster;
using nlohmann::json;

constexpr Duration kPropagationTimeout = seconds(20);

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// Returns a configuration patch that creates `count` deployments, each with one model service.
json DeploymentsPatch(int count, const std::vector<std::string>& zones) {
  json deployments = json::object();
  for (int i = 0; i < count; ++i) {
    const std::string suffix = i == 0 ? "" : "-" + std::to_string(i);
    deployments["site" + suffix] = {
        {"zones", zones},
        {"services",
         {{"model" + suffix,
           {{"kind", "model_engine"},
            {"operations", {{"generate", {{"path", "/v1/generate"}, {"repeatable", true}}}}}}}}}};
  }
  return {{"deployments", deployments}};
}

// Returns the number of bytes that the loopback interface has sent so far, including TCP and IP
// headers.
double LoopbackBytes() {
  std::ifstream in("/proc/net/dev");
  std::string line;
  while (std::getline(in, line)) {
    const std::size_t colon = line.find("lo:");
    if (colon == std::string::npos) continue;
    std::istringstream fields(line.substr(colon + 3));
    double value = 0;
    constexpr int kSentBytesField = 9;
    for (int i = 0; i < kSentBytesField; ++i) fields >> value;
    return value;
  }
  return 0;
}

}  // namespace

ControlCost::ControlCost(std::string anvilcroft_binary, std::string fakes_binary)
    : anvilcroft_binary(std::move(anvilcroft_binary)), fakes_binary(std::move(fakes_binary)) {}

Result<json> ControlCost::Run(const ControlScenario& scenario) {
  LocalCluster::Options options;
  options.anvilcroft_binary = this->anvilcroft_binary;
  options.fakes_binary = this->fakes_binary;
  options.site.zones = {"zone-a", "zone-b", "zone-c"};
  options.site.model_service = "model";
  options.site.judge_service = "judge";
  options.instances = scenario.members;
  options.lease_s = 30;
  options.lease_renewal_s = 10;
  options.address_ttl_s = 5;
  LocalCluster cluster(options);
  if (const auto started = cluster.Start(); !started) {
    return tl::unexpected<Error>(started.error());
  }

  Runtime runtime;
  HttpClient http(runtime);
  StubTargets targets(runtime);
  const auto entries = targets.Start(scenario.targets, "model", options.site.zones);
  if (!entries) return tl::unexpected<Error>(entries.error());
  for (const json& entry : *entries) {
    const auto put =
        fakes::SyncJson(cluster.Platform("instances").address, "POST", "/control/put", entry);
    if (!put) return tl::unexpected<Error>(put.error());
  }
  std::optional<Result<json>> figures;
  runtime.Spawn([&](Task& task) {
    figures = this->Measure(task, http, scenario, cluster);
    runtime.Stop();
  });
  runtime.Run();
  runtime.EndTasks();
  return *figures;
}

Result<json> ControlCost::Measure(Task& task, HttpClient& http, const ControlScenario& scenario,
                                  LocalCluster& cluster) {
  const auto first = this->MeasurePatchPropagation(
      task, http, cluster, 0,
      DeploymentsPatch(scenario.deployments, cluster.Settings().site.zones));
  if (!first) return tl::unexpected<Error>(first.error());
  SleepUntil(task, SteadyNow() + scenario.settle);

  std::vector<InstanceMetrics> before;
  for (const std::string& address : cluster.Addresses()) {
    const auto metrics = FetchInstanceMetrics(task, http, address);
    if (!metrics) return tl::unexpected<Error>(metrics.error());
    before.push_back(*metrics);
  }
  const double wire_before = LoopbackBytes();
  SleepUntil(task, SteadyNow() + scenario.window);
  const double wire = LoopbackBytes() - wire_before;
  std::vector<double> cpu, memory, peer_bytes, http_bytes, reads, writes;
  const double window = static_cast<double>(ToMillis(scenario.window)) / 1000;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto after = FetchInstanceMetrics(task, http, cluster.Addresses()[i]);
    if (!after) return tl::unexpected<Error>(after.error());
    const InstanceMetrics used = Difference(before[i], *after);
    cpu.push_back(100 * used.cpu_seconds / window);
    memory.push_back(used.resident_bytes / (1 << 20));
    peer_bytes.push_back((used.peer_bytes_out + used.peer_bytes_in) / window);
    http_bytes.push_back((used.http_bytes_out + used.http_bytes_in) / window);
    reads.push_back(used.store_reads / window);
    writes.push_back(used.store_transactions / window);
  }
  std::vector<double> patch_times;
  for (int i = 1; i <= scenario.patches; ++i) {
    const auto time = this->MeasurePatchPropagation(task, http, cluster, i,
                                                    {{"drained_targets", {{"none", i % 2 == 0}}}});
    if (!time) return tl::unexpected<Error>(time.error());
    patch_times.push_back(*time);
  }
  return json{{"members", scenario.members},
              {"targets", scenario.targets},
              {"deployments", scenario.deployments},
              {"cpu_percent", Median(cpu)},
              {"cpu_percent_max", *std::max_element(cpu.begin(), cpu.end())},
              {"memory_mb", Median(memory)},
              {"memory_mb_max", *std::max_element(memory.begin(), memory.end())},
              {"peer_bytes_s", Median(peer_bytes)},
              {"http_bytes_s", Median(http_bytes)},
              {"wire_bytes_s", wire / window / scenario.members},
              {"store_reads_s", Median(reads)},
              {"store_transactions_s", Median(writes)},
              {"patch_ms", Median(patch_times)},
              {"patch_ms_max", *std::max_element(patch_times.begin(), patch_times.end())}};
}

Result<double> ControlCost::MeasurePatchPropagation(Task& task, HttpClient& http,
                                                    LocalCluster& cluster, int64_t base,
                                                    const json& patch) {
  const json body = {{"patch_id", "bench-" + std::to_string(base)},
                     {"base", base},
                     {"author", "bench"},
                     {"patch", patch}};
  const TimePoint limit = SteadyNow() + kPropagationTimeout;
  bool accepted = false;
  while (!accepted && SteadyNow() < limit) {
    const auto response = http.Call(task, *ParseEndpoint(cluster.Addresses()[0]),
                                    HttpRequest::Builder()
                                        .SetMethod("POST")
                                        .SetTarget("/v1/config/patches")
                                        .SetJson(body.dump())
                                        .Build(),
                                    CallOptions(limit));
    accepted = response && response->Status() == 200;
    if (!accepted) SleepUntil(task, SteadyNow() + milliseconds(100));
  }
  if (!accepted)
    return Fail(ErrorCode::kDeadlineExceeded,
                "the configuration patch was not accepted within 20 s");
  const TimePoint begin = SteadyNow();
  std::size_t pending = cluster.Addresses().size();
  TimePoint last = begin;
  Event done;
  for (const std::string& address : cluster.Addresses()) {
    RuntimeOf(task).Spawn([&, address](Task& poller) {
      while (SteadyNow() < limit) {
        const auto metrics = FetchInstanceMetrics(poller, http, address);
        if (metrics && metrics->config_version > static_cast<double>(base)) break;
        SleepUntil(poller, SteadyNow() + milliseconds(5));
      }
      last = SteadyNow();
      --pending;
      done.NotifyAll();
    });
  }
  while (pending > 0) done.Wait(task);
  if (last >= limit)
    return Fail(ErrorCode::kDeadlineExceeded,
                "not every member applied the configuration patch within 20 s");
  return static_cast<double>(std::chrono::duration_cast<microseconds>(last - begin).count()) / 1000;
}

}  // namespace anvilcroft::bench
