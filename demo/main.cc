// The main job: an end-to-end run of a site of the size given in docs/design.md, as separate
// processes on this machine. Callers send requests, a trainer takes samples, the configuration is
// patched, one instance is stopped under load, and the logs of the fakes are checked.
//
//   demo ANVILCROFT_BINARY FAKES_BINARY [--keep-files]
//
// Exits with 0 only if every request got its complete, correct response, every confirmation ran
// exactly once, every sample arrived exactly once and named the weight versions that produced it,
// and the stop interrupted no request.

#include <csignal>
#include <iostream>

#include "anvilcroft/log.h"
#include "demo/caller_load.h"
#include "fakes/local_cluster.h"
#include "fakes/sync_call.h"

namespace anvilcroft::demo {
namespace {

using fakes::LocalCluster;
using nlohmann::json;

constexpr int kInstances = 4;
constexpr int kCallers = 24;
constexpr int kRequestsPerCaller = 40;

class MainJob {
 public:
  MainJob(Runtime& runtime, LocalCluster& cluster)
      : cluster(cluster), http(runtime), load(runtime, cluster) {}

  void Run(Task& task) {
    this->Patch(task, 0, fakes::DeploymentPatch(this->cluster.Settings().site));
    this->WaitForTargets(task);
    auto trainer = this->cluster.StartTrainer({"--steps", "3", "--groups", "8", "--samples", "8",
                                               "--max-tokens", "64", "--step-ms", "500",
                                               "--staleness-bound", "1"});
    this->Expect(trainer.has_value(), "the trainer starts");
    this->load.Start(kCallers, kRequestsPerCaller);
    SleepUntil(task, SteadyNow() + seconds(1));
    this->Patch(
        task, 1,
        {{"deployments",
          {{this->cluster.Settings().site.deployment,
            {{"services",
              {{this->cluster.Settings().site.model_service, {{"max_in_flight", 96}}}}}}}}}});
    this->StopOneInstance(task);
    this->load.Wait(task);
    this->CheckCallers();
    this->CheckConfirmations(task);
    if (trainer) this->CheckTrainer(task, **trainer);
    this->CheckStoppedInstance(task);
  }

  bool Passed() const { return this->passed; }

 private:
  void Expect(bool holds, const std::string& what) {
    std::cout << (holds ? "ok      " : "FAILED  ") << what << std::endl;
    this->passed = this->passed && holds;
  }

  Result<json> Get(Task& task, const std::string& address, const std::string& target) {
    const auto response = this->http.Call(task, *ParseEndpoint(address),
                                          HttpRequest::Builder().SetTarget(target).Build(),
                                          CallOptions(SteadyNow() + seconds(5)).WithResend());
    if (!response) return tl::unexpected<Error>(response.error());
    return json::parse(response->Body(), nullptr, false);
  }

  // Submits a patch to one instance and waits until the new version is in force at every instance.
  void Patch(Task& task, int64_t base, const json& patch) {
    const json body = {{"patch_id", "demo-" + std::to_string(base)},
                       {"base", base},
                       {"author", "demo"},
                       {"patch", patch}};
    const TimePoint begin = SteadyNow();
    const TimePoint limit = begin + seconds(20);
    bool accepted = false;
    while (!accepted && SteadyNow() < limit) {
      const auto response =
          this->http.Call(task, *ParseEndpoint(this->cluster.Addresses()[base % kInstances]),
                          HttpRequest::Builder()
                              .SetMethod("POST")
                              .SetTarget("/v1/config/patches")
                              .SetJson(body.dump())
                              .Build(),
                          CallOptions(limit));
      accepted = response && response->Status() == 200;
      if (!accepted) SleepUntil(task, SteadyNow() + milliseconds(100));
    }
    this->Expect(accepted, "patch on version " + std::to_string(base) + " is accepted");
    const TimePoint accepted_at = SteadyNow();
    for (const std::string& address : this->cluster.Addresses()) {
      int64_t version = 0;
      while (version <= base && SteadyNow() < limit) {
        const auto config = this->Get(task, address, "/v1/config");
        if (config && config->is_object()) version = config->value("version", 0);
        if (version <= base) SleepUntil(task, SteadyNow() + milliseconds(5));
      }
      this->Expect(version > base,
                   "version " + std::to_string(base + 1) + " is in force at " + address);
    }
    std::cout << "        in force on all instances " << ToMillis(SteadyNow() - accepted_at)
              << " ms after acceptance\n";
  }

  // Waits until the first instance lists every target. Callers that start earlier would only retry.
  void WaitForTargets(Task& task) {
    const fakes::Site& site = this->cluster.Settings().site;
    const std::size_t expected = site.model_engines + site.app_engines + 1;
    std::size_t listed = 0;
    const TimePoint limit = SteadyNow() + seconds(20);
    while (listed < expected && SteadyNow() < limit) {
      const auto targets = this->Get(task, this->cluster.Addresses()[0], "/v1/targets");
      if (targets && targets->is_object()) listed = targets->value("targets", json::array()).size();
      SleepUntil(task, SteadyNow() + milliseconds(50));
    }
    this->Expect(listed == expected,
                 std::to_string(listed) + " targets are listed by the first instance");
  }

  void StopOneInstance(Task& task) {
    SleepUntil(task, SteadyNow() + milliseconds(500));
    std::cout << "        SIGTERM to " << this->cluster.Instances().back().id << " under load\n";
    this->cluster.Instances().back().process->Signal(SIGTERM);
  }

  void CheckCallers() {
    const auto& totals = this->load.Totals();
    std::cout << "        requests sent " << totals.sent << ", answered correctly "
              << totals.correct << ", wrong " << totals.wrong << ", refused " << totals.refused
              << ", unknown " << totals.unknown << ", retried attempts " << this->load.Retries()
              << "\n";
    this->Expect(totals.correct == totals.sent, "every request got its complete, correct response");
    this->Expect(this->load.BrokenAnswers() == 0, "no response was interrupted");
  }

  // The logs of the app engines are the record of what was executed.
  void CheckConfirmations(Task& task) {
    std::map<std::string, int> runs;
    for (const auto& app : this->cluster.AppEngines()) {
      const auto log = this->Get(task, app.address, "/control/log");
      this->Expect(log.has_value(), "the log of " + app.id + " can be read");
      if (!log) continue;
      for (const json& run : log->value("runs", json::array())) {
        const std::string key = run.value("key", "");
        if (!key.empty()) ++runs[key];
      }
    }
    int64_t ran_once = 0;
    for (const auto& [key, answered] : this->load.Confirmations()) {
      if (answered && runs[key] == 1) ++ran_once;
    }
    std::cout << "        confirmations " << this->load.Confirmations().size() << ", ran once "
              << ran_once << "\n";
    this->Expect(ran_once == static_cast<int64_t>(this->load.Confirmations().size()),
                 "every confirmation ran exactly once");
  }

  void CheckTrainer(Task& task, fakes::ChildProcess& trainer) {
    const TimePoint limit = SteadyNow() + seconds(60);
    while (trainer.Running() && SteadyNow() < limit) {
      SleepUntil(task, SteadyNow() + milliseconds(50));
    }
    const auto code = trainer.Wait(0);
    std::string summary;
    while (const auto line = trainer.ReadLine(100)) {
      if (line->rfind("{", 0) == 0) summary = *line;
    }
    std::cout << "        trainer: " << summary << "\n";
    this->Expect(code && *code == 0,
                 "every sample arrived exactly once with correct weight versions");
  }

  void CheckStoppedInstance(Task& task) {
    auto& process = *this->cluster.Instances().back().process;
    const TimePoint limit = SteadyNow() + seconds(30);
    while (process.Running() && SteadyNow() < limit) {
      SleepUntil(task, SteadyNow() + milliseconds(50));
    }
    const auto code = process.Wait(0);
    this->Expect(code && *code == 0, "the stopped instance drained and exited with 0");
  }

  LocalCluster& cluster;
  HttpClient http;
  CallerLoad load;
  bool passed = true;
};

int Main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "usage: demo ANVILCROFT_BINARY FAKES_BINARY [--keep-files]\n";
    return 2;
  }
  InitLog(LogLevel::kWarning);
  LocalCluster::Options options;
  options.anvilcroft_binary = argv[1];
  options.fakes_binary = argv[2];
  options.site = fakes::KaanchPhera();
  options.instances = kInstances;
  options.keep_files = argc > 3;
  LocalCluster cluster(options);
  if (const auto started = cluster.Start(); !started) {
    std::cerr << "cannot start the site: " << started.error().message << " " << started.error().part
              << "\n";
    return 1;
  }
  std::cout << "started " << kInstances << " instances, " << options.site.model_engines
            << " model engines and " << options.site.app_engines << " app engines in "
            << options.site.zones.size() << " zones" << std::endl;
  Runtime runtime;
  MainJob job(runtime, cluster);
  runtime.Spawn([&](Task& task) {
    job.Run(task);
    runtime.Stop();
  });
  runtime.Run();
  std::cout << (job.Passed() ? "the main job passed" : "the main job FAILED") << std::endl;
  return job.Passed() ? 0 : 1;
}

}  // namespace
}  // namespace anvilcroft::demo

int main(int argc, char** argv) { return anvilcroft::demo::Main(argc, argv); }
