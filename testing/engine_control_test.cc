// Tests of orders to engines and of the weight catalog. They guard against orders of a former owner
// that take effect, orders without a lease, failed swaps that are not retried, weight versions that
// decrease, and a publication that is applied twice after its answer was lost.

#include "anvilcroft/engine_control.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "anvilcroft/http_server.h"
#include "anvilcroft/json.h"
#include "anvilcroft/weight_catalog.h"
#include "testing/memory_table.h"

namespace anvilcroft {
namespace {

// An engine that swaps at once, except that it fails the next `fail_swaps` orders.
class StubEngine {
 public:
  StubEngine(Runtime& runtime, std::string id)
      : id(std::move(id)),
        server(HttpServer::Builder(runtime)
                   .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
                     this->Handle(task, request, reply);
                   })
                   .Build()),
        address(*ParseEndpoint(*this->server->Start())) {}

  Target AsTarget() const {
    return Target::Builder()
        .SetId(this->id)
        .SetKind(TargetKind::kModelEngine)
        .SetService("s")
        .SetAddress(this->address)
        .Build();
  }

  std::string id;
  int64_t version = 1;
  std::string model = "a";
  std::string role = "mixed";
  uint64_t last_fencing = 0;
  int fail_swaps = 0;
  int refused = 0;
  std::vector<nlohmann::json> orders;

 private:
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
    if (request.Path() == "/v1/state") {
      const nlohmann::json state = {{"id", this->id},       {"instance_start", "1"},
                                    {"model", this->model}, {"weight_version", this->version},
                                    {"role", this->role},   {"checks_fencing", true}};
      reply.Send(task, JsonResponse(200, DumpJson(state)));
      return;
    }
    const auto order = *ParseJson(request.Body());
    if (order["fencing"] < this->last_fencing) {
      ++this->refused;
      reply.Send(task, ErrorResponse(Error{ErrorCode::kOldFencing, "old", "", Ran::kNo}));
      return;
    }
    this->last_fencing = order["fencing"];
    this->orders.push_back(order);
    if (this->fail_swaps > 0) {
      --this->fail_swaps;
      reply.Send(task, ErrorResponse(Error{ErrorCode::kSwapFailed, "no", "", Ran::kYes}));
      return;
    }
    if (order["kind"] == "load_weights") this->version = order["version"];
    if (order["kind"] == "load_model") this->model = order["model"];
    if (order["kind"] == "set_role") this->role = order["role"];
    reply.Send(task, JsonResponse(200, "{}"));
  }

  std::unique_ptr<HttpServer> server;
  Endpoint address;
};

// The part of one instance that owns and controls engines, with its own roster.
class ControlInstance {
 public:
  ControlInstance(Runtime& runtime, MemoryTable& table, const std::string& name,
                  std::vector<StubEngine*> engines)
      : http(runtime),
        owner(
            runtime, this->View(name), table.Access(),
            [engines = std::move(engines)] {
              std::vector<Target> targets;
              for (const StubEngine* engine : engines) targets.push_back(engine->AsTarget());
              return targets;
            },
            [this](const std::string& id) { this->control->StartPolling(id); }) {
    this->SetMembers({name});
    this->control =
        EngineControl::Builder(runtime)
            .SetHttpClient(this->http)
            .SetMetrics(this->metrics)
            .SetFindOwned([this](const std::string& id) { return this->owner.Find(id); })
            .SetSpec([this](const Target&) {
              EngineControl::Spec spec = this->spec;
              spec.since_published = SteadyNow() - this->published;
              return spec;
            })
            .SetHoldsLease([this](TimePoint) { return this->lease; })
            .SetReport([this](const EngineReport& report) {
              this->reported[report.id] = report.weight_version;
            })
            .SetOnTokenRefused([this](const std::string& id, RowVersion token) {
              this->owner.OnTokenRefused(id, token, SteadyNow());
            })
            .Build();
    this->spec.goal.service = "s";
    this->spec.downloads_per_second = 1000;
    this->spec.max_swapping = 1;
    this->spec.swap_time = milliseconds(100);
    this->owner.Start();
  }

  void SetMembers(const std::vector<std::string>& names) {
    std::vector<Member> members;
    for (const std::string& name : names) members.push_back(Member::Builder().SetId(name).Build());
    this->roster = std::make_shared<const Roster>(++this->roster_version, std::move(members));
    this->owner.CheckNow();
  }

  void SetGoalVersion(int64_t version) {
    this->spec.goal.weight_version = version;
    this->published = SteadyNow();
    this->control->CheckNow();
  }

  ClusterView View(const std::string& name) {
    ClusterView view;
    view.self = name;
    view.roster = [this] { return this->roster; };
    view.holds_lease = [this](TimePoint) { return this->lease; };
    view.epoch = []() -> RowVersion { return 1; };
    return view;
  }

  HttpClient http;
  Metrics metrics;
  bool lease = true;
  uint64_t roster_version = 0;
  std::shared_ptr<const Roster> roster = std::make_shared<const Roster>();
  EngineControl::Spec spec;
  TimePoint published;
  std::map<std::string, int64_t> reported;
  std::unique_ptr<EngineControl> control;
  EngineOwner owner;
};

TEST_CASE("an engine refuses the orders of a former owner", "[orders]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  StubEngine engine(runtime, "e");
  ControlInstance old_owner(runtime, table, "old", {&engine});
  RunInTask(runtime, [&](Task& task) {
    old_owner.SetGoalVersion(2);
    REQUIRE(Eventually(task, [&] { return engine.version == 2; }));
    // The new owner acts on a roster that the old one has not received.
    ControlInstance new_owner(runtime, table, "new", {&engine});
    new_owner.SetGoalVersion(3);
    REQUIRE(Eventually(task, [&] { return engine.version == 3; }));
    const auto token = old_owner.owner.Find("e");
    REQUIRE(token);
    CHECK(token->token < engine.last_fencing);
    old_owner.SetGoalVersion(4);
    REQUIRE(Eventually(task, [&] { return engine.refused > 0; }));
    CHECK(engine.version == 3);
    CHECK_FALSE(old_owner.owner.Find("e"));
    // Once the old owner has the new roster, it sends the engine no more orders.
    old_owner.SetMembers({"new"});
    SleepUntil(task, SteadyNow() + milliseconds(200));
    CHECK(engine.version == 3);
    CHECK(table.Find("owners", "e")->value["instance"] == "new");
    runtime.Stop();
  });
}

TEST_CASE("an instance that no longer owns an engine sends it no orders", "[orders]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  StubEngine engine(runtime, "e");
  ControlInstance instance(runtime, table, "a", {&engine});
  RunInTask(runtime, [&](Task& task) {
    REQUIRE(Eventually(task, [&] { return instance.reported.count("e") != 0; }));
    instance.SetMembers({"b"});
    REQUIRE(Eventually(task, [&] { return !instance.owner.Find("e"); }));
    instance.SetGoalVersion(2);
    SleepUntil(task, SteadyNow() + milliseconds(300));
    CHECK(engine.orders.empty());
  });
}

TEST_CASE("a failed swap is ordered again with the same order id", "[orders]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  table.lose_answers = 1;  // of the write that takes over the engine
  StubEngine engine(runtime, "e");
  engine.fail_swaps = 1;
  ControlInstance instance(runtime, table, "a", {&engine});
  RunInTask(runtime, [&](Task& task) {
    instance.SetGoalVersion(2);
    REQUIRE(Eventually(task, [&] { return engine.version == 2; }));
    REQUIRE(engine.orders.size() == 2);
    CHECK(engine.orders[0] == engine.orders[1]);
    CHECK(engine.orders[0]["order_id"] == "e/load_weights/2");
    CHECK(instance.metrics.CounterValue("anvilcroft_engine_orders_total",
                                        {{"kind", "load_weights"}, {"outcome", "swap_failed"}}) ==
          1);
    REQUIRE(Eventually(task, [&] { return instance.reported["e"] == 2; }));
  });
}

TEST_CASE("an instance without a lease sends no orders and takes over no engines", "[orders]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  StubEngine engine(runtime, "e");
  StubEngine other(runtime, "f");
  ControlInstance instance(runtime, table, "a", {&engine, &other});
  RunInTask(runtime, [&](Task& task) {
    REQUIRE(Eventually(task, [&] { return instance.reported.size() == 2; }));
    instance.lease = false;
    instance.SetGoalVersion(2);
    REQUIRE(Eventually(task, [&] {
      return instance.metrics.CounterValue("anvilcroft_engine_orders_total",
                                           {{"kind", "load_weights"}, {"outcome", "no_lease"}}) > 0;
    }));
    CHECK(engine.orders.empty());
    ControlInstance second(runtime, table, "b", {&engine, &other});
    second.lease = false;
    SleepUntil(task, SteadyNow() + milliseconds(300));
    CHECK(table.Find("owners", "e")->value["instance"] == "a");
    instance.lease = true;
    REQUIRE(Eventually(task, [&] { return engine.version == 2 && other.version == 2; }));
    runtime.Stop();
  });
}

TEST_CASE("an engine gets its model, then its weights, then its role", "[orders]") {
  EngineGoal goal{"s", "b", 5, "u", "decode", 7};
  EngineReport report;
  report.model = "a";
  report.weight_version = 4;
  report.role = "mixed";
  REQUIRE(NextOrder("e", goal, report));
  CHECK(NextOrder("e", goal, report)->Encode(9) ==
        nlohmann::json::parse(R"({"fencing":9,"order_id":"e/load_model/b%407","kind":"load_model",
                                  "service":"s","model":"b"})"));
  report.swapping = true;
  CHECK_FALSE(NextOrder("e", goal, report));
  report.swapping = false;
  report.model = "b";
  CHECK(NextOrder("e", goal, report)->Encode(9) ==
        nlohmann::json::parse(R"({"fencing":9,"order_id":"e/load_weights/5","version":5,"uri":"u",
                                  "kind":"load_weights","service":"s"})"));
  report.weight_version = 6;
  CHECK(NextOrder("e", goal, report)->OrderKind() == EngineOrder::Kind::kSetRole);
  report.role = "decode";
  CHECK_FALSE(NextOrder("e", goal, report));
}

TEST_CASE("a weight version is published once and never decreases", "[weights]") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Runtime runtime;
    MemoryTable table(runtime, seed);
    WeightCatalog catalog(runtime, table.Access(), [] {});
    RunInTask(runtime, [&](Task& task) {
      const auto publish = [&](int64_t version) {
        return catalog.Publish(task, {"s", version, 1000 * version, "u"},
                               SteadyNow() + seconds(20));
      };
      table.fault_rate = 0.5;
      REQUIRE(publish(3));
      CHECK(
          table.Find("head", "head")->value ==
          nlohmann::json::parse(R"({"config_version":0,"roster_version":0,"weights_version":1})"));
      const auto again = publish(3);
      REQUIRE(again);
      CHECK(table.Find("head", "head")->value["weights_version"] == 1);
      const auto lower = publish(2);
      REQUIRE_FALSE(lower);
      CHECK(lower.error().code == ErrorCode::kStaleVersion);
      CHECK(lower.error().ran == Ran::kNo);
      REQUIRE(publish(4));
      CHECK(catalog.NewestVersion("s") == 4);
      CHECK(catalog.NewestVersion("other") == 0);
      CHECK(table.Find("head", "head")->value["weights_version"] == 2);
    });
  }
}

TEST_CASE("a publication by another instance is read after a change of the head row", "[weights]") {
  Runtime runtime;
  MemoryTable table(runtime, 1);
  int changes = 0;
  WeightCatalog catalog(runtime, table.Access(), [&] { ++changes; });
  RunInTask(runtime, [&](Task& task) {
    catalog.Start();
    SleepUntil(task, SteadyNow() + milliseconds(20));
    const WeightRecord record{"s", 7, 1, "u"};
    REQUIRE(table.Apply(Transaction::Builder().Put("weights", "s", record.Encode()).Build()));
    catalog.OnWeightsChange();
    REQUIRE(Eventually(task, [&] { return catalog.NewestVersion("s") == 7; }));
    CHECK(changes == 1);
  });
}

}  // namespace
}  // namespace anvilcroft
