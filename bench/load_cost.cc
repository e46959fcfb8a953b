#include "bench/load_cost.h"

#include <functional>
#include <optional>

#include "anvilcroft/event.h"
#include "bench/instance_metrics.h"
#include "fakes/local_cluster.h"
#include "fakes/sync_call.h"
#include "fakes/test_caller.h"

namespace anvilcroft::bench {
namespace {

using fakes::LocalCluster;
using fakes::TestCaller;
using nlohmann::json;

class LoadCost {
 public:
  LoadCost(Runtime& runtime, LocalCluster& cluster)
      : runtime(runtime), cluster(cluster), http(runtime) {}

  Result<json> Run(Task& task) {
    if (!this->ConfigureSite(task))
      return Fail(ErrorCode::kNotReady, "the site did not become ready within 30 s");
    const fakes::Site& site = this->cluster.Settings().site;
    json figures;
    const auto lookup = [&](Task& inner, TestCaller& caller, int) {
      return caller.Call(inner, site.app_service, site.repeatable_operation, "{}", "",
                         SteadyNow() + seconds(30));
    };
    const auto confirm = [&](Task& inner, TestCaller& caller, int number) {
      return caller.Call(inner, site.app_service, site.single_run_operation, "{}",
                         "key-" + std::to_string(number), SteadyNow() + seconds(30));
    };
    figures["lookup"] = this->MeasureRequests(task, 16, 4000, lookup);
    figures["confirmation"] = this->MeasureRequests(task, 16, 1000, confirm);
    for (const int tokens : {20, 220}) {
      figures["stream_" + std::to_string(tokens)] =
          this->MeasureRequests(task, 32, 600, [&](Task& inner, TestCaller& caller, int number) {
            return caller.Generate(inner, site.model_service, "prompt " + std::to_string(number),
                                   tokens, true, SteadyNow() + seconds(60));
          });
    }
    figures["in_flight"] = this->MeasureStreamMemory(task);
    figures["samples"] = this->MeasureSampleDelivery(task);
    return figures;
  }

 private:
  using RequestFunction = std::function<Result<std::string>(Task&, TestCaller&, int number)>;

  Result<InstanceMetrics> FetchMetrics(Task& task) {
    return FetchInstanceMetrics(task, this->http, this->cluster.Addresses()[0]);
  }

  // Submits the deployment and waits until a model request succeeds. Returns false after 30 s.
  bool ConfigureSite(Task& task) {
    const TimePoint limit = SteadyNow() + seconds(30);
    json patch = fakes::DeploymentPatch(this->cluster.Settings().site);
    auto& services = patch["deployments"][this->cluster.Settings().site.deployment]["services"];
    for (auto& service : services) service["max_in_flight"] = 5000;
    const json body = {{"patch_id", "bench"}, {"base", 0}, {"author", "bench"}, {"patch", patch}};
    TestCaller caller(this->http, this->cluster.Addresses(), "", 1);
    bool accepted = false;
    while (SteadyNow() < limit) {
      const auto response = this->http.Call(task, *ParseEndpoint(this->cluster.Addresses()[0]),
                                            HttpRequest::Builder()
                                                .SetMethod("POST")
                                                .SetTarget("/v1/config/patches")
                                                .SetJson(body.dump())
                                                .Build(),
                                            CallOptions(limit));
      accepted = accepted || (response && response->Status() == 200);
      if (accepted && caller.Generate(task, this->cluster.Settings().site.model_service, "warm", 2,
                                      false, SteadyNow() + seconds(5))) {
        return true;
      }
      SleepUntil(task, SteadyNow() + milliseconds(200));
    }
    return false;
  }

  // Sends `total` requests, `parallel` at a time, and returns the cost per request.
  json MeasureRequests(Task& task, int parallel, int total, const RequestFunction& send) {
    const auto before = this->FetchMetrics(task);
    const TimePoint begin = SteadyNow();
    int next = 0;
    int failed = 0;
    int remaining = parallel;
    Event done;
    for (int i = 0; i < parallel; ++i) {
      this->runtime.Spawn([&, i](Task& inner) {
        TestCaller caller(this->http, this->cluster.Addresses(), "", 100 + i);
        while (next < total) {
          if (!send(inner, caller, next++)) ++failed;
        }
        --remaining;
        done.NotifyAll();
      });
    }
    while (remaining > 0) done.Wait(task);
    const auto elapsed = static_cast<double>(ToMillis(SteadyNow() - begin)) / 1000;
    const auto after = this->FetchMetrics(task);
    if (!before || !after) return json();
    const InstanceMetrics used = Difference(*before, *after);
    return {{"requests", total},
            {"failed", failed},
            {"requests_s", total / elapsed},
            {"cpu_us", 1e6 * used.cpu_seconds / total},
            {"store_reads", used.store_reads / total},
            {"store_transactions", used.store_transactions / total}};
  }

  // Returns the memory per open stream: the growth of resident memory while 1000 long streams are
  // open, divided by their number.
  json MeasureStreamMemory(Task& task) {
    constexpr int kStreams = 1000;
    const auto before = this->FetchMetrics(task);
    int remaining = kStreams;
    Event done;
    for (int i = 0; i < kStreams; ++i) {
      this->runtime.Spawn([&, i](Task& inner) {
        TestCaller caller(this->http, this->cluster.Addresses(), "", 5000 + i);
        caller.Generate(inner, this->cluster.Settings().site.model_service,
                        "long " + std::to_string(i), 1500, true, SteadyNow() + seconds(90));
        --remaining;
        done.NotifyAll();
      });
    }
    SleepUntil(task, SteadyNow() + seconds(3));
    const auto during = this->FetchMetrics(task);
    const int open = remaining;
    while (remaining > 0) done.Wait(task);
    if (!before || !during) return json();
    return {{"streams", open},
            {"kb_each", (during->resident_bytes - before->resident_bytes) / 1024 / open}};
  }

  // Runs a trainer for two steps and returns the cost per sample.
  json MeasureSampleDelivery(Task& task) {
    const auto before = this->FetchMetrics(task);
    const TimePoint begin = SteadyNow();
    auto trainer = this->cluster.StartTrainer({"--steps", "2", "--groups", "32", "--samples", "8",
                                               "--max-tokens", "32", "--step-ms", "100"});
    if (!trainer) return json();
    while ((*trainer)->Running() && SteadyNow() - begin < seconds(90)) {
      SleepUntil(task, SteadyNow() + milliseconds(50));
    }
    const auto elapsed = static_cast<double>(ToMillis(SteadyNow() - begin)) / 1000;
    const auto after = this->FetchMetrics(task);
    if (!before || !after) return json();
    const InstanceMetrics used = Difference(*before, *after);
    constexpr double kSamples = 2 * 32 * 8;
    return {{"samples", kSamples},
            {"exit_code", (*trainer)->Wait(0).value_or(-1)},
            {"seconds", elapsed},
            {"store_reads", used.store_reads / kSamples},
            {"store_transactions", used.store_transactions / kSamples},
            {"cpu_us", 1e6 * used.cpu_seconds / kSamples}};
  }

  Runtime& runtime;
  LocalCluster& cluster;
  HttpClient http;
};

}  // namespace

Result<json> MeasureLoadCost(const std::string& anvilcroft_binary,
                             const std::string& fakes_binary) {
  LocalCluster::Options options;
  options.anvilcroft_binary = anvilcroft_binary;
  options.fakes_binary = fakes_binary;
  options.site = fakes::KaanchPhera();
  options.instances = 1;
  options.batch_size = 256;
  options.tokens_per_second = 100;
  LocalCluster cluster(options);
  if (const auto started = cluster.Start(); !started) {
    return tl::unexpected<Error>(started.error());
  }
  Runtime runtime;
  LoadCost cost(runtime, cluster);
  std::optional<Result<json>> figures;
  runtime.Spawn([&](Task& task) {
    figures = cost.Run(task);
    runtime.Stop();
  });
  runtime.Run();
  runtime.EndTasks();
  return *figures;
}

}  // namespace anvilcroft::bench
