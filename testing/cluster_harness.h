#ifndef TESTING_CLUSTER_HARNESS_H_
#define TESTING_CLUSTER_HARNESS_H_

// Several ClusterNodes with short leases, which share one Runtime and one FakeTable.

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/cluster_node.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/http_server.h"
#include "testing/fake_table.h"
#include "testing/run_task.h"

namespace anvilcroft {

class ClusterHarness {
 public:
  struct Instance {
    std::unique_ptr<TableClient> table;
    Metrics metrics;
    HttpRouter router;
    std::unique_ptr<HttpServer> api;
    std::string address;
    std::unique_ptr<ClusterNode> node;

    uint64_t ConfigVersion() { return this->node->View().config()->Version(); }
    std::size_t RosterSize() { return this->node->View().roster()->Members().size(); }
    // The error code with which may_serve refuses; kInternal if it does not refuse.
    ErrorCode ServeError() {
      const auto may_serve = this->node->View().may_serve(SteadyNow());
      return may_serve ? ErrorCode::kInternal : may_serve.error().code;
    }
    bool MayServe() { return this->node->View().may_serve(SteadyNow()).has_value(); }
  };

  ClusterHarness() : http(this->runtime), table(this->runtime) {}

  // Adds and starts an instance called `id`.
  Instance& AddInstance(const std::string& id, std::vector<std::string> seeds = {},
                        Duration lease = milliseconds(1500)) {
    this->instances.push_back(std::make_unique<Instance>());
    Instance& added = *this->instances.back();
    added.table = std::make_unique<TableClient>(this->http, this->table.AddClient());
    added.api = HttpServer::Builder(this->runtime)
                    .SetHandler([&added](Task& task, const HttpRequest& request, HttpReply& reply) {
                      added.router.Handle(task, request, reply);
                    })
                    .Build();
    added.address = *added.api->Start();
    const Settings settings = Settings::Builder()
                                  .SetInstanceId(id)
                                  .SetZone("zone-" + id.substr(0, 1))
                                  .SetRegion("region")
                                  .SetPeerAddress("127.0.0.1:0")
                                  .SetSeeds(std::move(seeds))
                                  .SetLeaseDuration(lease)
                                  .SetLeaseRenewal(lease / 4)
                                  .SetHeadPoll(milliseconds(100))
                                  .Build();
    added.node = ClusterNode::Builder(this->runtime)
                     .SetSettings(settings)
                     .SetHttpClient(this->http)
                     .SetTable(*added.table)
                     .SetMetrics(added.metrics)
                     .SetSeed(1000 + this->instances.size())
                     .Build();
    added.node->RegisterRoutes(added.router);
    REQUIRE(added.node->Start(added.address));
    return added;
  }

  Instance& At(std::size_t index) { return *this->instances[index]; }

  // Runs `body` in a task until it returns.
  void Run(const Runtime::Body& body) { testing::RunTask(this->runtime, body); }

  // Waits until `condition` holds; fails the test after 40 seconds. `what` names the condition in
  // the message of the failure.
  void Await(Task& task, const std::string& what, const std::function<bool()>& condition) {
    INFO("waited for: " << what);
    REQUIRE(testing::WaitUntil(task, condition, seconds(40)));
  }

  // Adds `count` instances a, b, c ... and waits until all are ready and each is connected
  // to all others.
  void StartInstances(Task& task, std::size_t count, Duration lease = milliseconds(1500)) {
    for (std::size_t i = 0; i < count; ++i) {
      this->AddInstance(std::string(1, static_cast<char>('a' + i)), {}, lease);
    }
    this->Await(task, "all have joined", [&] {
      for (const auto& instance : this->instances) {
        if (instance->RosterSize() != count || !instance->node->Ready()) return false;
        if (this->PeersInContact(*instance) != count - 1) return false;
      }
      return true;
    });
  }

  // The value of the metric anvilcroft_peers_in_contact of `instance`.
  std::size_t PeersInContact(Instance& instance) {
    const std::string text = instance.metrics.Render();
    const std::string name = "\nanvilcroft_peers_in_contact ";
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0 : std::stoul(text.substr(at + name.size()));
  }

  // Posts a patch that drains `target` to `instance`. `base` is the configuration version that the
  // patch applies to.
  HttpResponse PostPatch(Task& task, Instance& instance, uint64_t base, const std::string& id,
                         const std::string& target, milliseconds deadline = seconds(10)) {
    const nlohmann::json body = {{"patch_id", id},
                                 {"base", base},
                                 {"author", "test"},
                                 {"patch", {{"drained_targets", {{target, true}}}}}};
    return this->Call(task, instance,
                      HttpRequest::Builder()
                          .SetMethod("POST")
                          .SetTarget("/v1/config/patches")
                          .SetHeader("X-Deadline-Ms", std::to_string(deadline.count()))
                          .SetJson(body.dump())
                          .Build());
  }

  HttpResponse Call(Task& task, Instance& instance, const HttpRequest& request) {
    const auto response = this->http.Call(task, *ParseEndpoint(instance.address), request,
                                          CallOptions(SteadyNow() + seconds(60)));
    REQUIRE(response);
    return *response;
  }

  Runtime runtime;
  HttpClient http;
  FakeTable table;
  std::vector<std::unique_ptr<Instance>> instances;
};

}  // namespace anvilcroft

#endif  // TESTING_CLUSTER_HARNESS_H_
