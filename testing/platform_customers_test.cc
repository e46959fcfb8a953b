// Tests customers and keys end to end on a fake platform: what callers are answered, what targets,
// rows and logs hold, and how an instance that the store rejects learns of a revoked key.

#include <catch2/catch.hpp>
#include <iostream>
#include <set>
#include <sstream>

#include "testing/cut_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;
using Fields = std::vector<HttpHeaders::Field>;

constexpr char kKey[] = "a828-key-of-hule930";
constexpr char kSecondKey[] = "5mgj-key-of-hule930";
constexpr char kOtherKey[] = "7f3a-key-of-bo7";

// A configuration with two customers and the public routes /open/ (requests), /open-draft/
// (streams) and /open-rollout/ (batch jobs).
json CustomerConfiguration(int64_t version) {
  json config = PlatformFixture::Configuration(version);
  config["Tenants"] = {{{"Name", "hule930"}, {"ApiKeys", {kKey, kSecondKey}}, {"Priority", 7}},
                       {{"Name", "bo7"}, {"ApiKeys", {kOtherKey}}}};
  for (const auto& [from, prefix] : std::vector<std::pair<int, std::string>>{
           {0, "/open/"}, {2, "/open-draft/"}, {4, "/open-rollout/"}}) {
    json route = config["Routes"][from];
    route["Prefix"] = prefix;
    route["Public"] = true;
    config["Routes"].push_back(route);
  }
  return config;
}

template <typename Base>
class WithCustomers : public Base {
 public:
  template <typename... Args>
  explicit WithCustomers(Args... args) : Base(args...) {
    this->store.Put("op", "config", CustomerConfiguration(4).dump());
  }

  Result<HttpResponse> SendWith(Task& task, const std::string& address, const std::string& method,
                                const std::string& target, const std::string& id, Fields fields,
                                const std::string& body = "") {
    const HttpRequest base = fakes::CallerRequest(method, target, id, body, "8000");
    for (const auto& field : base.Headers().Fields()) fields.push_back(field);
    return this->http.Call(task, *ParseEndpoint(address),
                           HttpRequest::Builder()
                               .SetMethod(method)
                               .SetTarget(target)
                               .SetHeaders(HttpHeaders(std::move(fields)))
                               .SetBody(body)
                               .Build(),
                           CallOptions(SteadyNow() + seconds(20)).WithFreshConnection());
  }

  int Status(Task& task, const std::string& address, const std::string& method,
             const std::string& target, const std::string& id, Fields fields,
             const std::string& body = "") {
    const auto answer = this->SendWith(task, address, method, target, id, std::move(fields), body);
    return answer ? answer->Status() : 0;
  }

  // The request `id` as a target received it last.
  HttpHeaders Received(const std::string& id) {
    std::vector<fakes::PlatformEngine*> targets = {&this->app};
    for (auto& engine : this->engines) targets.push_back(engine.get());
    for (fakes::PlatformEngine* target : targets) {
      const auto found = target->last_headers.find(id);
      if (found != target->last_headers.end()) return found->second;
    }
    FAIL("no target received the request " << id);
    return {};
  }

  // Checks that targets got the request `id` with the customer `customer`, or with none if it is
  // empty, and without a key.
  void CheckCustomer(const std::string& id, const std::string& customer) {
    CAPTURE(id);
    std::vector<std::string> customers;
    const HttpHeaders received = this->Received(id);
    for (const auto& [name, value] : received.Fields()) {
      if (received.Find("X-Tenant") == value && !value.empty()) customers.push_back(value);
      CHECK(value.find("key-of") == std::string::npos);
    }
    CHECK(customers ==
          (customer.empty() ? std::vector<std::string>() : std::vector<std::string>{customer}));
    CHECK(received.Find("X-Key").empty());
  }
};

using CustomerFixture = WithCustomers<PlatformFixture>;

TEST_CASE("a request needs a known key unless its route is public", "[platform][customers]") {
  CustomerFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const std::string& address = instance.FrontAddress();
    const auto status = [&](const std::string& target, const std::string& id, Fields fields) {
      return fixture.Status(task, address, "POST", target, id, std::move(fields));
    };
    CHECK(status("/lookup/1", "r1", {{"X-Key", kKey}}) == 200);
    fixture.CheckCustomer("r1", "hule930");
    CHECK(status("/lookup/1", "r2", {{"x-key", kSecondKey}}) == 200);
    CHECK(status("/lookup/1", "r3", {}) == 401);
    CHECK(status("/lookup/1", "r4", {{"X-Key", "wrong"}}) == 401);
    CHECK(status("/lookup/1", "r5", {{"X-Key", kKey}, {"X-Key", kOtherKey}}) == 401);
    CHECK(status("/lookup/1", "r6", {{"X-Key", std::string(8000, '\xff')}}) == 401);
    CHECK(status("/lookup/1", "r7", {{"X-Tenant", "hule930"}}) == 401);
    CHECK(status("/none/1", "r8", {}) == 404);  // the route is checked before the key
    CHECK(status("/draft/1", "r9", {}) == 401);
    CHECK(status("/rollout/1", "r10", {}) == 401);
    CHECK(status("/open/1", "o1", {}) == 200);
    fixture.CheckCustomer("o1", "");
    CHECK(status("/open/1", "o2", {{"X-Key", kOtherKey}}) == 200);
    fixture.CheckCustomer("o2", "bo7");
    CHECK(status("/open/1", "o3", {{"X-Key", "an unknown key-of"}, {"X-Tenant", "bo7"}}) == 200);
    fixture.CheckCustomer("o3", "");
    const auto metrics = fixture.Send(task, instance.MetricsAddress(), "GET", "/metrics", "m");
    REQUIRE(metrics);
    CHECK(metrics->Body().find("anvilcroft_refused_keys_total{key=\"missing\"} 4") !=
          std::string::npos);
    CHECK(metrics->Body().find("anvilcroft_refused_keys_total{key=\"unknown\"} 3") !=
          std::string::npos);
    CHECK(metrics->Body().find("anvilcroft_customers 2") != std::string::npos);
  });
}

// Guards against a change for sites without customers.
TEST_CASE("without customers the fields of callers are forwarded", "[platform][customers]") {
  CustomerFixture fixture;
  fixture.store.Put("op", "config", PlatformFixture::Configuration(5).dump());
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    CHECK(fixture.Status(task, instance.FrontAddress(), "POST", "/lookup/1", "r1",
                         {{"X-Key", "any"}, {"X-Tenant", "t"}}) == 200);
    CHECK(fixture.Received("r1").Find("X-Key") == "any");
    CHECK(fixture.Received("r1").Find("X-Tenant") == "t");
  });
}

// Guards against a client that acts for another customer by sending the field itself, also where it
// declares the field a hop-by-hop field.
TEST_CASE("the customer of a request and a stream is set by the system", "[platform][customers]") {
  CustomerFixture fixture;
  fixture.AddEngine("i-e1");
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const std::string& address = instance.FrontAddress();
    const Fields forged = {{"X-Tenant", "bo7"}, {"x-TENANT", "bo7"}, {"X-Key", kKey}};
    Fields hop_by_hop = forged;
    hop_by_hop.emplace_back("Connection", "X-Tenant, X-Key");
    int number = 0;
    for (const Fields& fields : {forged, hop_by_hop, Fields{{"X-Key", kKey}}}) {
      for (const char* path : {"/lookup/1", "/slip/1", "/draft/1", "/open/1", "/open-draft/1"}) {
        const std::string id = "r" + std::to_string(++number);
        CAPTURE(path);
        CHECK(fixture.Status(task, address, "POST", path, id, fields) == 200);
        fixture.CheckCustomer(id, "hule930");
      }
    }
    for (const char* path : {"/open/1", "/open-draft/1"}) {
      const std::string id = "r" + std::to_string(++number);
      CHECK(fixture.Status(task, address, "POST", path, id, {{"X-Tenant", "bo7"}}) == 200);
      fixture.CheckCustomer(id, "");
    }
  });
}

// Guards against a request that loses its customer, or keeps its key, on the way through another
// instance.
TEST_CASE("a relayed request has the customer and no key", "[platform][customers]") {
  WithCustomers<CutFixture> fixture(2, 1, 1);
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.SetLinks(1, 1, fakes::FakeLink::Mode::kRefuse);
    const std::string& address = fixture.instances[0]->FrontAddress();
    int number = 0;
    std::string id;
    for (const char* path : {"/lookup/1", "/draft/1"}) {
      fixture.Await(task, "the request is relayed", [&] {
        id = "r" + std::to_string(++number);
        return fixture.Status(task, address, "POST", path, id,
                              {{"X-Key", kKey}, {"X-Tenant", "bo7"}}) == 200;
      });
      fixture.CheckCustomer(id, "hule930");
    }
    fixture.Await(task, "the public request is relayed", [&] {
      id = "r" + std::to_string(++number);
      return fixture.Status(task, address, "POST", "/open/1", id, {{"X-Tenant", "bo7"}}) == 200;
    });
    fixture.CheckCustomer(id, "");
  });
}

// The body of a step whose items carry the fields of another customer.
std::string ForgedStep(const std::string& prefix) {
  json step = json::parse(PlatformFixture::Step(prefix, 1));
  for (json& item : step["Items"]) {
    item["Headers"]["X-Tenant"] = "bo7";
    item["Headers"]["x-key"] = kOtherKey;
  }
  return step.dump();
}

TEST_CASE("a batch job belongs to its customer", "[platform][customers]") {
  CustomerFixture fixture;
  fixture.AddEngine("i-e1");
  FrontInstance& one = fixture.AddInstance("one");
  FrontInstance& two = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.AwaitReady(task, two);
    const auto status = [&](const std::string& method, const std::string& target, Fields fields,
                            const std::string& body = "", const std::string& id = "read") {
      return fixture.Status(task, two.FrontAddress(), method, target, id, std::move(fields), body);
    };
    const std::string step = ForgedStep("x");
    REQUIRE(status("POST", "/rollout/s", {{"X-Key", kKey}}, step, "job1") == 202);
    CHECK(status("POST", "/rollout/s", {{"X-Key", kSecondKey}}, step, "job1") == 202);
    // The id is in use: this job would be accepted and never run.
    CHECK(status("POST", "/rollout/s", {{"X-Key", kOtherKey}}, step, "job1") == 409);
    CHECK(status("POST", "/open-rollout/s", {}, step, "job1") == 409);
    json page;
    fixture.Await(task, "the results", [&] {
      const auto read = fixture.SendWith(task, one.FrontAddress(), "GET", "/api/lots/job1?After=0",
                                         "read", {{"X-Key", kSecondKey}});
      if (read && read->Status() == 200) page = json::parse(read->Body());
      return read && read->Status() == 200 && page["Results"].size() == 2;
    });
    for (const json& result : page["Results"]) {
      CHECK(result["State"] == "completed");
      const std::string item = result["Id"];
      fixture.CheckCustomer(item, "hule930");
      CHECK(fixture.Received(item).Find("X-Urgency") == "7");
      fixture.CheckCustomer("s" + item, "");  // the scoring request
    }
    for (const char* target : {"/api/lots/job1?After=0", "/api/items/job1?Id=x0"}) {
      CAPTURE(target);
      CHECK(status("GET", target, {{"X-Key", kKey}}) == 200);
      CHECK(status("GET", target, {{"X-Key", kOtherKey}}) == 404);
      CHECK(status("GET", target, {{"X-Key", "wrong"}}) == 401);
      CHECK(status("GET", target, {}) == 401);
    }
    CHECK(status("GET", "/api/lots/none?After=0", {{"X-Key", kKey}}) == 404);
    CHECK(status("GET", "/api/lots/none?After=0", {}) == 401);
    CHECK(status("DELETE", "/api/lots/job1", {{"X-Key", kOtherKey}}) == 404);
    CHECK(status("DELETE", "/api/lots/job1", {{"X-Key", "wrong"}}) == 401);
    CHECK(status("DELETE", "/api/lots/job1", {}) == 401);
    CHECK(fixture.store.Value({"batch-open", "job1", "open"}) == "1");
    CHECK(status("DELETE", "/api/lots/job1", {{"X-Key", kSecondKey}}) == 200);
    CHECK(fixture.store.Value({"batch-open", "job1", "open"}).empty());
    CHECK(status("GET", "/api/lots/job1?After=0", {{"X-Key", kOtherKey}}) == 404);
    // A job without a customer, on a public route.
    REQUIRE(status("POST", "/open-rollout/s", {{"X-Tenant", "bo7"}}, ForgedStep("y"), "job2") ==
            202);
    fixture.Await(task, "the results of the public job", [&] {
      const auto read =
          fixture.SendWith(task, one.FrontAddress(), "GET", "/api/lots/job2?After=0", "read", {});
      return read && read->Status() == 200 && json::parse(read->Body())["Results"].size() == 2;
    });
    fixture.CheckCustomer("y0", "");
    CHECK(status("DELETE", "/api/lots/job2", {}) == 200);
  });
}

// Guards against jobs that end, or run for nobody, when their customer changes keys.
TEST_CASE("a job outlives the keys and the entry of its customer", "[platform][customers]") {
  CustomerFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const std::string& address = instance.FrontAddress();
    REQUIRE(fixture.Status(task, address, "POST", "/rollout/s", "job1", {{"X-Key", kKey}},
                           ForgedStep("x")) == 202);
    json config = CustomerConfiguration(5);
    config["Tenants"].erase(0);
    fixture.store.Put("op", "config", config.dump());
    fixture.Await(task, "the key is revoked", [&] {
      return fixture.Status(task, address, "POST", "/lookup/1", "r", {{"X-Key", kKey}}) == 401;
    });
    fixture.AddEngine("i-e1");
    fixture.Await(task, "the items have run",
                  [&] { return fixture.store.CountRows("batch-results") == 2; });
    fixture.CheckCustomer("x0", "hule930");
    CHECK(fixture.Received("x0").Find("X-Urgency") == "0");  // of the route
    CHECK(fixture.Status(task, address, "GET", "/api/lots/job1?After=0", "r", {{"X-Key", kKey}}) ==
          401);
  });
}

// Guards against a job that the previous build stored with another customer's fields.
TEST_CASE("fields of items that were stored without a check are not sent",
          "[platform][customers]") {
  CustomerFixture fixture;
  fixture.store.Put("op", "config", PlatformFixture::Configuration(5).dump());
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    REQUIRE(fixture.Status(task, instance.FrontAddress(), "POST", "/rollout/s", "job1", {},
                           ForgedStep("x")) == 202);
    fixture.store.Put("op", "config", CustomerConfiguration(6).dump());
    fixture.Await(task, "the configuration with customers is in force", [&] {
      return fixture.Status(task, instance.FrontAddress(), "POST", "/lookup/1", "r", {}) == 401;
    });
    fixture.AddEngine("i-e1");
    fixture.Await(task, "the items have run",
                  [&] { return fixture.store.CountRows("batch-results") == 2; });
    fixture.CheckCustomer("x0", "");
    // Its submitter has a key by now.
    CHECK(fixture.Status(task, instance.FrontAddress(), "GET", "/api/lots/job1?After=0", "r",
                         {{"X-Key", kOtherKey}}) == 200);
  });
}

// Redirects the log to a string while it exists.
class CapturedLog {
 public:
  CapturedLog() : former(std::cerr.rdbuf(this->text.rdbuf())) {}
  ~CapturedLog() { std::cerr.rdbuf(this->former); }
  std::string Text() const { return this->text.str(); }

 private:
  std::ostringstream text;
  std::streambuf* former;
};

// Guards against keys that leak into the log or the store: by requests, refused ones, crashes of
// targets, jobs and configurations that are not valid.
TEST_CASE("keys are neither in the log nor in rows", "[platform][customers]") {
  CapturedLog log;
  CustomerFixture fixture;
  fixture.AddEngine("i-e1");
  fakes::PlatformEngine second(fixture.runtime, "i-app2", "");
  REQUIRE(second.Start());
  fixture.store.Put("servers", "i-app2", second.RegistrationEntry("app", "a"));
  fixture.app.crashing_bodies = second.crashing_bodies = {"crash"};
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const std::string& address = instance.FrontAddress();
    const Fields key = {{"X-Key", kKey}};
    CHECK(fixture.Status(task, address, "POST", "/lookup/1", "r1", key) == 200);
    CHECK(fixture.Status(task, address, "POST", "/draft/1", "r2", key) == 200);
    CHECK(fixture.Status(task, address, "POST", "/lookup/1", "r3",
                         {{"X-Key", "an-unknown-key-of"}}) == 401);
    REQUIRE(fixture.Status(task, address, "POST", "/rollout/s", "job1", key, ForgedStep("x")) ==
            202);
    fixture.Await(task, "the item runs",
                  [&] { return fixture.engines[0]->last_headers.count("x0") != 0; });
    fixture.Status(task, address, "POST", "/lookup/1", "crashing", key, "crash");
    fixture.Await(task, "the crash is a row",
                  [&] { return !fixture.store.RowsWith("!crash/", "").empty(); });
    json config = CustomerConfiguration(5);
    config["Tenants"].push_back({{"Name", "third"}, {"ApiKeys", {kKey}}});
    fixture.store.Put("op", "config", config.dump());
    fixture.Await(task, "the configuration is rejected", [&] {
      return log.Text().find("a key belongs to customer 'hule930' too") != std::string::npos;
    });
    // The last good configuration stays in force.
    CHECK(fixture.Status(task, address, "POST", "/open-draft/1", "r4", {}) == 200);
    CHECK(fixture.Status(task, address, "POST", "/draft/1", "r5", key) == 200);
  });
  CHECK(log.Text().find("refused a request for its key") != std::string::npos);
  CHECK(log.Text().find("key-of") == std::string::npos);
  CHECK(fixture.store.RowsWith("key-of", "op").empty());
}

// Guards against a revoked key that stays in force at an instance whose calls the store rejects.
TEST_CASE("an instance that the store rejects learns of a revoked key from others",
          "[platform][customers]") {
  CustomerFixture fixture;
  const auto mode = GENERATE(fakes::FakeLink::Mode::kRefuse, fakes::FakeLink::Mode::kSilentAll);
  auto link = fakes::FakeLink::Builder(fixture.runtime)
                  .SetTarget(*ParseEndpoint(fixture.store_address))
                  .Build();
  FrontInstance& rejected = fixture.AddInstance("one", *link->Start());
  FrontInstance& other = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    const auto status = [&](FrontInstance& instance, const char* key) {
      return fixture.Status(task, instance.FrontAddress(), "POST", "/lookup/1", "r",
                            {{"X-Key", key}});
    };
    CHECK(status(rejected, kKey) == 200);
    link->SetMode(mode);
    json config = CustomerConfiguration(5);
    config["Tenants"][0]["ApiKeys"] = {kSecondKey};
    fixture.store.Put("op", "config", config.dump());
    const TimePoint revoked = SteadyNow();
    fixture.Await(task, "the key is revoked", [&] { return status(rejected, kKey) == 401; });
    CHECK(SteadyNow() - revoked < seconds(3));
    CHECK(status(rejected, kSecondKey) == 200);
    CHECK(status(other, kKey) == 401);
    // The second round: the version changes once more while the store still rejects the instance.
    config["Version"] = 6;
    config["Tenants"][0]["ApiKeys"] = {kKey};
    fixture.store.Put("op", "config", config.dump());
    fixture.Await(task, "the key is back", [&] { return status(rejected, kKey) == 200; });
    link->SetMode(fakes::FakeLink::Mode::kUp);
    // The store returns an older version: the configuration does not go back.
    fixture.store.Put("op", "config", CustomerConfiguration(4).dump());
    SleepUntil(task, SteadyNow() + milliseconds(1500));
    CHECK(status(rejected, kSecondKey) == 401);
  });
}

TEST_CASE("an instance answers with its configuration as the store returned it",
          "[platform][customers]") {
  CustomerFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const auto ask = [&](const std::string& query) {
      const auto answer =
          fixture.Send(task, instance.MetricsAddress(), "GET", "/config" + query, "c");
      REQUIRE(answer);
      return *answer;
    };
    const auto newer = ask("?after=3");
    CHECK(newer.Status() == 200);
    CHECK(newer.Body() == CustomerConfiguration(4).dump());
    const std::string age(newer.Headers().Find("Anvilcroft-Config-Age-Ms"));
    REQUIRE_FALSE(age.empty());
    CHECK(std::stoll(age) < 3000);
    for (const char* query : {"?after=4", "?after=9223372036854775807"}) {
      CHECK(ask(query).Status() == 200);
      CHECK(ask(query).Body().empty());
      CHECK_FALSE(ask(query).Headers().Find("Anvilcroft-Config-Age-Ms").empty());
    }
    CHECK(ask("").Status() == 400);
    CHECK(ask("?after=x").Status() == 400);
  });
}

// Guards against an instance that takes the answer of an earlier build, which answers with its
// metrics, or of one that has no fresh configuration, for a confirmation; and against the end of
// service when nobody can confirm anything.
TEST_CASE("an instance that can confirm nothing continues with its configuration",
          "[platform][customers]") {
  CustomerFixture fixture;
  FrontInstance& one = fixture.AddInstance("one");
  FrontInstance& two = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.store.Server().SetFaults(*fakes::ChangeFaults({}, {{"mode", "down"}}));
    SleepUntil(task, SteadyNow() + seconds(3));
    for (FrontInstance* instance : {&one, &two}) {
      const std::string& address = instance->FrontAddress();
      CHECK(fixture.Status(task, address, "POST", "/lookup/1", "r", {{"X-Key", kKey}}) == 200);
      CHECK(fixture.Status(task, address, "POST", "/lookup/1", "r", {{"X-Key", "x"}}) == 401);
      const auto metrics = fixture.Send(task, instance->MetricsAddress(), "GET", "/metrics", "m");
      REQUIRE(metrics);
      CHECK(metrics->Body().find("config_peer_queries_total{outcome=\"none_newer\"}") !=
            std::string::npos);
    }
  });
}

// Guards against an instance that starts while the row is unreadable and refuses all callers,
// although others serve with the last good configuration.
TEST_CASE("an instance that starts with an unreadable row gets the last good configuration",
          "[platform][customers]") {
  CustomerFixture fixture;
  FrontInstance& one = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.store.Put("op", "config", "{\"Version\":5,\"Tenants\":7}");
    FrontInstance& two = fixture.AddInstance("two");
    fixture.AwaitReady(task, two);
    const std::string& address = two.FrontAddress();
    CHECK(fixture.Status(task, address, "POST", "/lookup/1", "r", {{"X-Key", kKey}}) == 200);
    CHECK(fixture.Status(task, address, "POST", "/lookup/1", "r", {}) == 401);
  });
}

}  // namespace
}  // namespace anvilcroft
