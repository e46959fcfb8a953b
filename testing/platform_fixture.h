#ifndef TESTING_PLATFORM_FIXTURE_H_
#define TESTING_PLATFORM_FIXTURE_H_

// A fake platform with one app target, and the model engines and front instances that a test adds,
// all on one Runtime.

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/front_instance.h"
#include "anvilcroft/http_client.h"
#include "fakes/platform_caller.h"
#include "fakes/platform_engine.h"
#include "fakes/platform_store.h"
#include "testing/run_task.h"

namespace anvilcroft {

class PlatformFixture {
 public:
  PlatformFixture() : http(this->runtime), store(this->runtime), app(this->runtime, "i-app", "") {
    this->store_address = *this->store.Start();
    REQUIRE(this->app.Start());
    this->store.Put("servers", "i-app", this->app.RegistrationEntry("app", "a"));
    this->store.Put("op", "config", this->Configuration(3).dump());
  }
  ~PlatformFixture() { this->runtime.EndTasks(); }

  static nlohmann::json Configuration(int64_t version) {
    using nlohmann::json;
    return {
        {"Version", version},
        {"Routes", json::array({{{"Name", "lookup"},
                                 {"Host", "h.example"},
                                 {"Prefix", "/lookup/"},
                                 {"Kind", "safe"},
                                 {"TimeoutMs", 1500},
                                 {"TargetLatencyMs", 200},
                                 {"Priority", 2},
                                 {"Service", "app"},
                                 {"MaxAttempts", 2}},
                                {{"Name", "slip"},
                                 {"Host", "h.example"},
                                 {"Prefix", "/slip/"},
                                 {"Kind", "unsafe"},
                                 {"TimeoutMs", 1500},
                                 {"TargetLatencyMs", 200},
                                 {"Service", "app"},
                                 {"MaxAttempts", 2}},
                                {{"Name", "draft"},
                                 {"Host", "h.example"},
                                 {"Prefix", "/draft/"},
                                 {"Kind", "stream"},
                                 {"Resumable", true},
                                 {"TimeoutMs", 5000},
                                 {"TargetLatencyMs", 200},
                                 {"Service", "model"},
                                 {"MaxAttempts", 3}},
                                {{"Name", "dictation"},
                                 {"Host", "h.example"},
                                 {"Prefix", "/dictation/"},
                                 {"Kind", "stream"},
                                 {"TimeoutMs", 5000},
                                 {"TargetLatencyMs", 200},
                                 {"Service", "model"},
                                 {"MaxAttempts", 3}},
                                {{"Name", "rollout"},
                                 {"Host", "h.example"},
                                 {"Prefix", "/rollout/"},
                                 {"Kind", "rollout"},
                                 {"TargetLatencyMs", 400},
                                 {"ResultTargetMs", 7500},
                                 {"ItemTtlS", 12},
                                 {"Service", "model"},
                                 {"MaxAttempts", 3}}})},
        {"Services", json::array({{{"Name", "app"}, {"HealthPath", "/healthz"}},
                                  {{"Name", "model"},
                                   {"HealthPath", "/healthz"},
                                   {"Engine", {{"Slots", 4}, {"Models", {{{"Name", "m"}}}}}}}})},
        {"Limits", {{"MaxHeaderBytes", 16384}, {"IdleTimeoutMs", 15000}}}};
  }

  fakes::PlatformEngine& AddEngine(const std::string& id) {
    this->engines.push_back(std::make_unique<fakes::PlatformEngine>(this->runtime, id, "m"));
    REQUIRE(this->engines.back()->Start());
    this->store.Put("servers", id, this->engines.back()->RegistrationEntry("model", "a"));
    return *this->engines.back();
  }

  // Starts an instance. `store` is the address at which it reaches the store; empty: the address of
  // the fake store.
  FrontInstance& AddInstance(const std::string& id, const std::string& store = "") {
    const Endpoint any{"127.0.0.1", 0};
    const FrontSettings settings =
        FrontSettings::Builder()
            .SetInstanceId(id)
            .SetZone("a")
            .SetFrontAddress(any)
            .SetDirectoryAddress(any)
            .SetReadyAddress(any)
            .SetMetricsAddress(any)
            .SetStoreAddress(*ParseEndpoint(store.empty() ? this->store_address : store))
            .SetAddressTtl(milliseconds(100))
            .SetCloud(this->cloud_settings)
            .SetEnginesPerSlice(this->engines_per_slice)
            .Build();
    this->instances.push_back(
        std::make_unique<FrontInstance>(this->runtime, settings, [this] { ++this->stopped; }));
    REQUIRE(this->instances.back()->Start());
    return *this->instances.back();
  }

  // Runs `body` in a task until it returns.
  void Run(const Runtime::Body& body) { testing::RunTask(this->runtime, body); }

  // Waits until `condition` holds; fails the test after 30 s.
  void Await(Task& task, const std::string& what, const std::function<bool()>& condition) {
    INFO("waited for: " << what);
    REQUIRE(testing::WaitUntil(task, condition, seconds(30)));
  }

  // The owner of the batch jobs and a second instance that can take over from it.
  struct OwnerAndSuccessor {
    FrontInstance& owner;
    FrontInstance& successor;
  };
  OwnerAndSuccessor AddOwnerAndSuccessor(Task& task) {
    FrontInstance& owner = this->AddInstance("one");
    this->AwaitReady(task, owner);
    this->Await(task, "the instance owns the batch jobs", [&] { return owner.OwnsBatchJobs(); });
    FrontInstance& successor = this->AddInstance("two");
    this->AwaitReady(task, successor);
    return {owner, successor};
  }

  Result<HttpResponse> Send(Task& task, const std::string& address, const std::string& method,
                            const std::string& target, const std::string& id,
                            const std::string& body = "", const std::string& deadline_ms = "8000") {
    const HttpRequest request = fakes::CallerRequest(method, target, id, body, deadline_ms);
    return this->http.Call(task, *ParseEndpoint(address), request,
                           CallOptions(SteadyNow() + seconds(20)).WithFreshConnection());
  }

  void AwaitReady(Task& task, FrontInstance& instance) {
    this->Await(task, "the instance is ready", [&] {
      const auto answer = this->Send(task, instance.ReadyAddress(), "GET", "/api/readyz", "ready");
      return answer && answer->Status() == 200;
    });
  }

  // Waits until all instances are ready and the directory names all of them.
  void AwaitAllReady(Task& task) {
    for (const auto& instance : this->instances) this->AwaitReady(task, *instance);
    this->Await(task, "all instances are listed", [&] {
      const auto found = this->Send(task, this->instances.front()->DirectoryAddress(), "GET",
                                    "/api/lookup?Name=h.example&Zone=a", "l");
      return found && found->Status() == 200 &&
             nlohmann::json::parse(found->Body())["Addresses"].size() == this->instances.size();
    });
  }

  // Returns the body that submits a training step of `groups` groups of two items, each judged by
  // the app target.
  static std::string Step(const std::string& prefix, int groups, int64_t min_version = 1) {
    fakes::StepShape shape;
    shape.item_prefix = prefix;
    shape.groups = groups;
    shape.min_version = min_version;
    return fakes::StepBody(shape);
  }

  // Reads the results of a job from the first one. Total is -1 if they could not be read.
  nlohmann::json ReadResults(Task& task, const std::string& address, const std::string& job) {
    const auto page = this->Send(task, address, "GET", "/api/lots/" + job + "?After=0", "read");
    if (!page || page->Status() != 200)
      return {{"Total", -1}, {"Results", nlohmann::json::array()}};
    return nlohmann::json::parse(page->Body());
  }

  // Waits until the job has at least `count` results and returns them.
  nlohmann::json AwaitResults(Task& task, const std::string& address, const std::string& job,
                              std::size_t count) {
    nlohmann::json page;
    this->Await(task, "the results of " + job, [&] {
      page = this->ReadResults(task, address, job);
      return page["Results"].size() >= count;
    });
    return page;
  }

  Runtime runtime;
  HttpClient http;
  fakes::PlatformStore store;
  std::string store_address;
  std::optional<CloudSettings> cloud_settings;  // of the instances that are added
  fakes::PlatformEngine app;
  std::vector<std::unique_ptr<fakes::PlatformEngine>> engines;
  std::vector<std::unique_ptr<FrontInstance>> instances;
  int engines_per_slice = 0;  // of the instances that are added
  int stopped = 0;            // number of instances that have stopped
};

}  // namespace anvilcroft

#endif  // TESTING_PLATFORM_FIXTURE_H_
