// Tests the orders for engines of an instance with fakes of the store and of the cloud API.

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/owner_lease.h"
#include "anvilcroft/scaling/order_record.h"
#include "fakes/platform_cloud.h"
#include "platform/operator_rows.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using fakes::CloudCall;
using fakes::PlatformCloud;
using nlohmann::json;
using Kind = PlatformCloud::EngineKind;

// Engines of the service "model" in the zones a, b and c that exist only as entries in the store,
// and follow the orders that the fake carries out.
class ScalingFixture : public PlatformFixture {
 public:
  explicit ScalingFixture(bool scaling = true) : cloud(this->runtime) {
    this->cloud_address = *this->cloud.Start();
    if (scaling) this->PutConfiguration(30);
    for (const char* zone : {"a", "b", "c"}) {
      this->Resize({"model", zone, true}, 4);
      this->cloud.engines[{"model", zone, true}] = 4;
    }
    this->cloud.on_order = [this](const Kind& kind, int count) {
      if (!this->follow) return;
      this->runtime.Spawn([this, kind, count](Task& task) {
        SleepUntil(task, SteadyNow() + milliseconds(200));
        if (this->cloud.engines[kind] == count) this->Resize(kind, count);
      });
    };
  }

  // Returns the configuration.
  json PutConfiguration(int max) {
    json configuration = Configuration(4);
    configuration["Services"][1]["Scaling"] = {
        {"Min", 1},
        {"Max", max},
        {"BootTimeS", 1.0},
        {"SpotPrice", 0.22},
        {"ZonePrices", {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}}}};
    this->store.Put("op", "config", configuration.dump());
    return configuration;
  }

  // Adds or removes entries until there are `count` of the kind.
  void Resize(const Kind& kind, int count) {
    std::vector<std::string>& ids = this->entries[kind];
    while (static_cast<int>(ids.size()) > count) {
      this->store.Remove("servers", ids.back());
      ids.pop_back();
    }
    while (static_cast<int>(ids.size()) < count) {
      ids.push_back("e" + std::to_string(++this->last_id));
      this->store.Put("servers", ids.back(), this->Entry(kind, "ready").dump());
    }
  }

  json Entry(const Kind& kind, const std::string& state) const {
    const auto& [service, zone, reclaimable] = kind;
    json entry = {{"Service", service}, {"Address", "127.0.0.1:9"}, {"Zone", zone},
                  {"Slots", 4},         {"State", state},           {"born", 1}};
    entry["Models"] = json::array({{{"Name", "m"}, {"Version", 1}}});
    if (reclaimable) entry["Spot"] = true;
    return entry;
  }

  // Announces that all reclaimable engines of the zone are taken away, and takes them away.
  void Reclaim(Task& task, const std::string& zone) {
    const Kind kind{"model", zone, true};
    json entry = this->Entry(kind, "draining");
    entry["leaves_ms"] = WallNow() + 500;
    for (const std::string& id : this->entries[kind]) this->store.Put("servers", id, entry.dump());
    this->cloud.engines[kind] = 0;
    SleepUntil(task, SteadyNow() + milliseconds(500));
    for (const std::string& id : this->entries[kind]) this->store.Remove("servers", id);
    this->entries[kind].clear();
  }

  FrontInstance& AddScaler(const std::string& id, bool order_engines = true) {
    const Endpoint any{"127.0.0.1", 0};
    CloudSettings settings;
    settings.address = *ParseEndpoint(this->cloud_address);
    settings.order_engines = order_engines;
    settings.checks_fencing = this->cloud.checks_fencing;
    const FrontSettings front = FrontSettings::Builder()
                                    .SetInstanceId(id)
                                    .SetZone("a")
                                    .SetFrontAddress(any)
                                    .SetDirectoryAddress(any)
                                    .SetReadyAddress(any)
                                    .SetMetricsAddress(any)
                                    .SetStoreAddress(*ParseEndpoint(this->store_address))
                                    .SetAddressTtl(milliseconds(100))
                                    .SetCloud(settings)
                                    .Build();
    this->instances.push_back(
        std::make_unique<FrontInstance>(this->runtime, front, [this] { ++this->stopped; }));
    REQUIRE(this->instances.back()->Start());
    return *this->instances.back();
  }

  std::vector<CloudCall> Orders() const { return this->cloud.Calls("/scale"); }

  int Regular() {
    int sum = 0;
    for (const auto& [kind, count] : this->cloud.engines) sum += std::get<2>(kind) ? 0 : count;
    return sum;
  }

  std::string OrderValue(const std::string& zone, bool reclaimable) const {
    return this->store.Value(OrderRow({"model", zone, reclaimable}));
  }

  PlatformCloud cloud;
  std::string cloud_address;
  bool follow = true;  // whether engines appear after orders
  std::map<Kind, std::vector<std::string>> entries;
  int last_id = 0;
};

TEST_CASE("the holder orders regular engines before the first step and stores each order",
          "[scaling]") {
  ScalingFixture site;
  site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
    SleepUntil(task, SteadyNow() + seconds(3));
    CHECK(site.Regular() == 6);
    std::set<std::string> zones;
    for (const CloudCall& call : site.Orders()) {
      CHECK(call.holder == "one");
      CHECK(call.fencing > 0);
      CHECK(call.body["Service"] == "model");
      CHECK(call.body.count("Spot") == 0);
      zones.insert(call.body["Zone"].get<std::string>());
    }
    CHECK(zones.size() >= 2);
    CHECK(site.Orders().size() == zones.size());
    for (const std::string& zone : zones) {
      const auto record = DecodeOrder(site.OrderValue(zone, false));
      REQUIRE(record);
      CHECK(record->answered);
      CHECK(record->count == site.cloud.engines[{"model", zone, false}]);
      CHECK(record->fencing == site.Orders().front().fencing);
    }
  });
}

TEST_CASE("without a scaling in the configuration or without the duty, nothing is ordered",
          "[scaling]") {
  const bool scaling = GENERATE(false, true);
  ScalingFixture site(scaling);
  FrontInstance& instance = site.AddScaler("one", !scaling);
  site.Run([&](Task& task) {
    site.Await(task, "the instance is the holder", [&] { return instance.OwnsBatchJobs(); });
    SleepUntil(task, SteadyNow() + seconds(3));
    CHECK(site.Orders().empty());
  });
}

// Guards against a service of a split route that gets no engines because the need of its steps is
// taken for that of the first service alone.
TEST_CASE("the services of a split route get engines for their shares of a step", "[scaling]") {
  ScalingFixture site;
  json configuration = site.PutConfiguration(30);
  json other = configuration["Services"][1];
  other["Name"] = "other";
  other["Scaling"]["Min"] = 0;
  configuration["Services"].push_back(other);
  for (json& route : configuration["Routes"]) {
    if (route["Kind"] != "rollout") continue;
    route.erase("Service");
    route["TrafficSplit"] =
        json::array({{{"Service", "model"}, {"Weight", 1}}, {{"Service", "other"}, {"Weight", 3}}});
  }
  configuration["Version"] = 5;
  site.store.Put("op", "config", configuration.dump());
  FrontInstance& instance = site.AddScaler("one");
  site.Run([&](Task& task) {
    site.AwaitReady(task, instance);
    const auto accepted = site.Send(task, instance.FrontAddress(), "POST", "/rollout/s", "job1",
                                    PlatformFixture::Step("x", 200));
    REQUIRE(accepted);
    CHECK(accepted->Status() == 202);
    site.Await(task, "engines of the second service", [&] {
      int count = 0;
      for (const auto& [kind, engines] : site.cloud.engines) {
        if (std::get<0>(kind) == "other") count += engines;
      }
      return count > 0;
    });
  });
}

TEST_CASE("an order that the platform refuses goes to another zone at once", "[scaling]") {
  ScalingFixture site;
  site.cloud.checks_fencing = GENERATE(false, true);
  site.cloud.unavailable = {{"model", "a", false}};
  site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
    CHECK(site.cloud.engines.count({"model", "a", false}) == 0);
    std::optional<TimePoint> refused_at;
    std::optional<TimePoint> replaced_at;
    for (const CloudCall& call : site.Orders()) {
      if (call.status == 409 && !refused_at) refused_at = call.executed_at;
      if (call.status == 200) replaced_at = call.executed_at;
    }
    REQUIRE(refused_at);
    REQUIRE(replaced_at);
    CHECK(*replaced_at - *refused_at < seconds(3));
  });
}

TEST_CASE("no regular engines to be had: reclaimable ones are ordered, and regular ones later",
          "[scaling]") {
  ScalingFixture site;
  for (const char* zone : {"a", "b", "c"}) site.cloud.unavailable.insert({"model", zone, false});
  for (const char* zone : {"a", "b", "c"}) site.Resize({"model", zone, true}, 2);
  site.Resize({"model", "a", true}, 8);
  site.AddScaler("one");
  site.Run([&](Task& task) {
    // 12 engines, 8 of them in one zone: 6 have to remain without the largest zone.
    site.Await(task, "reclaimable engines elsewhere", [&] {
      return site.cloud.engines[{"model", "b", true}] + site.cloud.engines[{"model", "c", true}] >=
             6;
    });
    site.cloud.unavailable.clear();
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
  });
}

TEST_CASE("orders without an answer are repeated until they are answered", "[scaling]") {
  ScalingFixture site;
  site.cloud.Server().Faults().lose_answers = 4;
  site.cloud.Server().Faults().delay_apply_ms = 4000;
  site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
    std::map<std::string, TimePoint> last;
    for (const CloudCall& call : site.Orders()) {
      const std::string zone = call.body["Zone"].get<std::string>();
      if (last.count(zone) != 0) CHECK(call.received_at - last[zone] >= milliseconds(1950));
      last[zone] = call.received_at;
    }
    SleepUntil(task, SteadyNow() + seconds(6));
    CHECK(site.Regular() == 6);
    for (const auto& [zone, at] : last) CHECK(DecodeOrder(site.OrderValue(zone, false))->answered);
  });
}

// Guards against an old order that is carried out after newer ones and takes engines away.
TEST_CASE("an order that is carried out late, after newer ones, is corrected", "[scaling]") {
  ScalingFixture site;
  site.cloud.Server().Faults().lose_answers = 1;
  site.cloud.Server().Faults().delay_apply_ms = 7000;
  site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "the unanswered call", [&] { return !site.Orders().empty(); });
    const CloudCall first = site.Orders().front();
    const Kind kind{"model", first.body["Zone"].get<std::string>(), false};
    site.Await(task, "an answered repeat", [&] { return site.cloud.engines.count(kind) != 0; });
    const int ordered = site.cloud.engines[kind];
    // As if the lost call had named fewer engines.
    SleepUntil(task, first.received_at + milliseconds(7200));
    site.cloud.engines[kind] = ordered - 1;
    site.Resize(kind, ordered - 1);
    site.Await(task, "the number is sent again",
               [&] { return site.cloud.engines[kind] == ordered; });
    CHECK(SteadyNow() - first.received_at < seconds(12));
  });
}

TEST_CASE("a slow API gets no second call for a group before the first has ended", "[scaling]") {
  ScalingFixture site;
  site.cloud.Server().Faults().mode = fakes::FaultPlan::Mode::kSlow;
  site.cloud.Server().Faults().delay_ms = 1500;
  site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
    SleepUntil(task, SteadyNow() + seconds(3));
    std::set<std::string> zones;
    for (const CloudCall& call : site.Orders()) zones.insert(call.body["Zone"].get<std::string>());
    CHECK(site.Orders().size() == zones.size());
  });
}

TEST_CASE("calls beyond the API's limit back off", "[scaling]") {
  ScalingFixture site;
  site.cloud.refuse_next = 3;
  site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
    CHECK(site.Orders().size() <= 9);
  });
}

TEST_CASE("reclaimed engines are replaced, by regular ones where no others are to be had",
          "[scaling]") {
  ScalingFixture site;
  site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
    SleepUntil(task, SteadyNow() + seconds(2));
    for (const char* zone : {"a", "b", "c"}) site.cloud.unavailable.insert({"model", zone, true});
    site.Reclaim(task, "a");
    site.Reclaim(task, "b");
    site.Await(task, "regular engines replace the lost ones", [&] { return site.Regular() >= 8; });
    CHECK(site.cloud.engines[{"model", "c", true}] == 4);
  });
}

TEST_CASE("a submitted step raises the numbers at once", "[scaling]") {
  ScalingFixture site;
  FrontInstance& instance = site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
    SleepUntil(task, SteadyNow() + seconds(2));
    // 200 items of 20 events, at 30 ms for an event on idle engines of 4 slots.
    const auto answer = site.Send(task, instance.FrontAddress(), "POST", "/rollout/1", "s1",
                                  PlatformFixture::Step("x", 100));
    REQUIRE(answer);
    REQUIRE(answer->Status() == 202);
    const TimePoint submitted = SteadyNow();
    site.Await(task, "regular engines for the step", [&] { return site.Regular() >= 20; });
    CHECK(SteadyNow() - submitted < seconds(5));
    SleepUntil(task, SteadyNow() + seconds(2));
    CHECK(site.Regular() <= 25);
  });
}

// Guards against two holders whose orders reach the platform alternately.
TEST_CASE("a successor repeats open orders, and the former holder orders no more", "[scaling]") {
  ScalingFixture site;
  site.cloud.checks_fencing = GENERATE(false, true);
  site.cloud.Server().Faults().mode = fakes::FaultPlan::Mode::kSilent;
  FrontInstance& owner = site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "the first holder", [&] { return owner.OwnsBatchJobs(); });
    FrontInstance& successor = site.AddScaler("two");
    site.Await(task, "an order is stored", [&] { return !site.OrderValue("a", false).empty(); });
    CHECK_FALSE(DecodeOrder(site.OrderValue("a", false))->answered);
    owner.ShutDown();
    site.Await(task, "the successor", [&] { return successor.OwnsBatchJobs(); });
    site.cloud.Server().Faults().mode = fakes::FaultPlan::Mode::kUp;
    site.Await(task, "half of the engines are regular", [&] { return site.Regular() == 6; });
    SleepUntil(task, SteadyNow() + seconds(3));
    bool successor_seen = false;
    for (const CloudCall& call : site.Orders()) {
      successor_seen = successor_seen || call.holder == "two";
      if (successor_seen) CHECK(call.holder == "two");
    }
    CHECK(successor_seen);
    CHECK(DecodeOrder(site.OrderValue("a", false))->holder == "two");
  });
}

// Guards against calls of a former holder that go on after the calls of its successor.
TEST_CASE("once another instance holds the lease, a refused token is not used again", "[scaling]") {
  ScalingFixture site;
  site.cloud.checks_fencing = true;
  FrontInstance& owner = site.AddScaler("one");
  site.Run([&](Task& task) {
    site.Await(task, "the first holder", [&] { return owner.OwnsBatchJobs(); });
    for (const char* zone : {"a", "b", "c"}) {
      const HttpRequest call =
          HttpRequest::Builder()
              .SetMethod("POST")
              .SetTarget("/scale")
              .SetHeader("X-Duty-Holder", "other")
              .SetHeader("X-Fence-Token", "1000000")
              .SetJson(json{{"Service", "model"}, {"Zone", zone}, {"TargetGroups", 0}}.dump())
              .Build();
      const auto answer =
          site.http.Call(task, *ParseEndpoint(site.cloud_address), call,
                         CallOptions(SteadyNow() + seconds(5)).WithFreshConnection());
      REQUIRE(answer);
      REQUIRE(answer->Status() == 200);
    }
    const auto refused = [&] {
      std::size_t count = 0;
      for (const CloudCall& call : site.Orders()) count += call.status == 409 ? 1 : 0;
      return count;
    };
    // The store still names this instance, so a refusal stands for missing engines.
    site.Await(task, "orders are refused and tried again", [&] { return refused() > 6; });
    OwnerRecord other;
    other.holder = "other";
    other.term = 1000;
    const int64_t token = site.store.Put("lease", "batch-owner", EncodeOwner(other));
    SleepUntil(task, SteadyNow() + milliseconds(350));  // a call in flight and the next renewal
    const std::size_t before = site.Orders().size();
    SleepUntil(task, SteadyNow() + seconds(6));
    for (std::size_t i = before; i < site.Orders().size(); ++i) {
      CHECK(site.Orders()[i].fencing > token);  // only after this instance has the lease again
    }
  });
}

TEST_CASE("the scaling of a service and the kind of an engine are decoded", "[scaling]") {
  json configuration = PlatformFixture::Configuration(3);
  json& service = configuration["Services"][1];
  service["Scaling"] = {{"Min", 1},          {"Max", 30},        {"BootTimeS", 4.0},
                        {"SpotPrice", 0.22}, {"Unknown", "new"}, {"ZonePrices", {{"z", 0.85}}}};
  const auto table = platform::DecodeConfiguration(configuration.dump());
  REQUIRE(table);
  CHECK_FALSE(table->FindService("app")->scaling);
  const auto scaling = table->FindService("model")->scaling;
  REQUIRE(scaling);
  CHECK(scaling->min == 1);
  CHECK(scaling->max == 30);
  CHECK(scaling->boot_time == seconds(4));
  CHECK(scaling->reclaimable_price == 0.22);
  CHECK(scaling->ZonePrice("z") == 0.85);
  CHECK(scaling->ZonePrice("other") == 1);
  service["Scaling"].erase("SpotPrice");
  CHECK_FALSE(platform::DecodeConfiguration(configuration.dump())
                  ->FindService("model")
                  ->scaling->reclaimable_price);
  service["Scaling"]["Min"] = 31;
  CHECK_FALSE(platform::DecodeConfiguration(configuration.dump()));
  service["Scaling"]["Min"] = -1;
  CHECK_FALSE(platform::DecodeConfiguration(configuration.dump()));

  json entry = {{"Service", "model"}, {"Address", "127.0.0.1:9"}, {"State", "ready"}};
  CHECK_FALSE(platform::DecodeTargetEntry("i", entry.dump())->reclaimable);
  CHECK_FALSE(platform::DecodeTargetEntry("i", entry.dump())->leaves_at);
  entry["Spot"] = true;
  entry["leaves_ms"] = 1700000002500.5;
  const auto decoded = platform::DecodeTargetEntry("i", entry.dump());
  REQUIRE(decoded);
  CHECK(decoded->reclaimable);
  CHECK(decoded->leaves_at == 1700000002501);
  // A wrong field must not hide the engine.
  entry["Spot"] = "yes";
  entry["leaves_ms"] = "soon";
  REQUIRE(platform::DecodeTargetEntry("i", entry.dump()));
  CHECK_FALSE(platform::DecodeTargetEntry("i", entry.dump())->reclaimable);
}

}  // namespace
}  // namespace anvilcroft
