// Tests the customers of a configuration, the decoding of their list and the decisions about keys.

#include <catch2/catch.hpp>
#include <random>

#include "anvilcroft/batch_records.h"
#include "anvilcroft/carried_texts.h"
#include "anvilcroft/customers/caller_identity.h"
#include "anvilcroft/customers/customer_table.h"
#include "anvilcroft/customers/peer_query_schedule.h"
#include "platform/batch_wire.h"
#include "platform/headers.h"
#include "platform/operator_rows.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// The configuration of the fixture with `tenants`.
std::string WithTenants(const json& tenants) {
  json config = PlatformFixture::Configuration(4);
  config["Tenants"] = tenants;
  return config.dump();
}

TEST_CASE("customers are decoded and found by key and name", "[customers]") {
  const auto routes = platform::DecodeConfiguration(
      WithTenants({{{"Name", "hule930"}, {"ApiKeys", {"key-a", "key-b"}}, {"Priority", 1}},
                   {{"Name", "bo7"}, {"ApiKeys", {"key-c", "key-c"}}, {"Unknown", 1}},
                   {{"Name", "no-keys"}}}));
  REQUIRE(routes);
  const CustomerTable& customers = routes->Customers();
  CHECK(customers.Enabled());
  CHECK(customers.Size() == 3);
  REQUIRE(customers.FindByKey("key-b") != nullptr);
  CHECK(*customers.FindByKey("key-b") == Customer{"hule930", 1});
  CHECK(customers.FindByKey("key-a") == customers.Find("hule930"));
  REQUIRE(customers.FindByKey("key-c") != nullptr);
  CHECK(*customers.FindByKey("key-c") == Customer{"bo7", std::nullopt});
  CHECK(customers.Find("no-keys") != nullptr);
  for (const char* other : {"", "key", "key-ab", "KEY-A", "hule930"}) {
    CHECK(customers.FindByKey(other) == nullptr);
  }
}

// Guards against a change for sites without customers, and against a service that opens when the
// last customer is removed.
TEST_CASE("keys are needed only where the configuration has a list of customers", "[customers]") {
  const auto without = platform::DecodeConfiguration(PlatformFixture::Configuration(3).dump());
  REQUIRE(without);
  CHECK_FALSE(without->Customers().Enabled());
  CHECK_FALSE(platform::DecodeConfiguration(WithTenants(nullptr))->Customers().Enabled());
  const auto empty = platform::DecodeConfiguration(WithTenants(json::array()));
  REQUIRE(empty);
  CHECK(empty->Customers().Enabled());
  CHECK(empty->Customers().FindByKey("key") == nullptr);
}

// A configuration of which a part is wrong must not come into force in part, and its errors are
// logged, so they must name no key.
TEST_CASE("a configuration with a wrong list of customers is rejected as a whole", "[customers]") {
  const std::string key = "secret-key";
  const json good = {{"Name", "good"}, {"ApiKeys", {key}}};
  const std::vector<std::pair<json, std::string>> wrong = {
      {json::array({good, good}), "Tenants.name"},
      {json::array({good, {{"Name", "other"}, {"ApiKeys", {key}}}}), "Tenants.keys"},
      {json::array({{{"Name", "other"}, {"ApiKeys", {""}}}}), "Tenants.keys"},
      {json::array({{{"Name", ""}, {"ApiKeys", {key}}}}), "Tenants.Name"},
      {json::array({{{"ApiKeys", {key}}}}), "Tenants.Name"},
      {json::array({{{"Name", 5}, {"ApiKeys", {key}}}}), "Tenants.Name"},
      {json::array({{{"Name", "a\r\nX-Other: b"}, {"ApiKeys", {key}}}}), "Tenants.name"},
      {json::array({{{"Name", " a"}, {"ApiKeys", {key}}}}), "Tenants.name"},
      {json::array({{{"Name", "a"}, {"ApiKeys", key}}}), "Tenants.ApiKeys"},
      {json::array({{{"Name", "a"}, {"ApiKeys", {key, 5}}}}), "Tenants.ApiKeys"},
      {json::array({{{"Name", "a"}, {"ApiKeys", {key}}, {"Priority", -1}}}), "Tenants.Priority"},
      {json::array({{{"Name", "a"}, {"ApiKeys", {key}}, {"Priority", 1001}}}), "Tenants.Priority"},
      {json::array({{{"Name", "a"}, {"ApiKeys", {key}}, {"Priority", 1.5}}}), "Tenants.Priority"},
      {json::array({{{"Name", "a"}, {"ApiKeys", {key}}, {"Priority", "high"}}}),
       "Tenants.Priority"},
      {json::array({key}), "Tenants"},
      {json{{"Name", "a"}}, "Tenants"},
      {key, "Tenants"}};
  for (const auto& [tenants, part] : wrong) {
    CAPTURE(tenants);
    const auto decoded = platform::DecodeConfiguration(WithTenants(tenants));
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().code == ErrorCode::kInvalidArgument);
    CHECK(decoded.error().part == part);
    CHECK(decoded.error().message.find(key) == std::string::npos);
  }
  CHECK(platform::DecodeConfiguration(WithTenants(
      json::array({{{"Name", "a"}, {"Priority", 0}}, {{"Name", "b"}, {"Priority", 1000}}}))));
}

// Load pattern: the largest configuration in two years, and requests with keys of any bytes and
// lengths. A lookup that took time with the number of keys would take minutes here.
TEST_CASE("ten thousand keys and two thousand routes are decoded and looked up", "[customers]") {
  constexpr int kCustomers = 2500;
  constexpr int kKeysEach = 4;
  json config = PlatformFixture::Configuration(4);
  config["Tenants"] = json::array();
  const auto key = [](int customer, int number) {
    return "key/" + std::to_string(customer) + "/" + std::to_string(number);
  };
  for (int i = 0; i < kCustomers; ++i) {
    json keys = json::array();
    for (int k = 0; k < kKeysEach; ++k) keys.push_back(key(i, k));
    config["Tenants"].push_back(
        {{"Name", "c" + std::to_string(i)}, {"ApiKeys", keys}, {"Priority", i % 1001}});
  }
  for (int i = 0; i < 2000; ++i) {
    json route = config["Routes"][0];
    route["Prefix"] = "/r" + std::to_string(i) + "/";
    route["Public"] = i % 2 == 0;
    config["Routes"].push_back(route);
  }
  const auto routes = platform::DecodeConfiguration(config.dump());
  REQUIRE(routes);
  const CustomerTable& customers = routes->Customers();
  for (int i = 0; i < kCustomers; ++i) {
    for (int k = 0; k < kKeysEach; ++k) {
      const Customer* found = customers.FindByKey(key(i, k));
      REQUIRE(found != nullptr);
      REQUIRE(found->name == "c" + std::to_string(i));
    }
  }
  CHECK(routes->Match("h.example", "/r1998/x")->open);
  CHECK_FALSE(routes->Match("h.example", "/r1999/x")->open);
  std::mt19937_64 random(1);
  for (int i = 0; i < 200000; ++i) {
    std::string bytes(random() % 24, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    REQUIRE(customers.FindByKey(bytes) == nullptr);
  }
  const std::string huge(32 << 20, 'k');
  for (int i = 0; i < 100000; ++i) REQUIRE(customers.FindByKey(huge) == nullptr);
}

TEST_CASE("callers are identified by their keys", "[customers]") {
  CustomerTable::Builder builder;
  CHECK(IdentifyCaller(builder.Build(), {"a"}) == CallerIdentity{});
  REQUIRE(builder.Enable().Add({"one", std::nullopt}, {"a", "b"}));
  REQUIRE(builder.Add({"two", std::nullopt}, {"c"}));
  const CustomerTable table = builder.Build();
  CHECK(IdentifyCaller(table, {"b"}) == CallerIdentity{KeyState::kKnown, "one"});
  CHECK(IdentifyCaller(table, {"c", "c"}) == CallerIdentity{KeyState::kKnown, "two"});
  CHECK(IdentifyCaller(table, {"a", "c"}) == CallerIdentity{KeyState::kUnknown, ""});
  CHECK(IdentifyCaller(table, {"x"}) == CallerIdentity{KeyState::kUnknown, ""});
  CHECK(IdentifyCaller(table, {}) == CallerIdentity{KeyState::kMissing, ""});
  CHECK(IdentifyCaller(table, {""}) == CallerIdentity{KeyState::kMissing, ""});
}

TEST_CASE("callers may use their own jobs and open routes only", "[customers]") {
  const CallerIdentity off;
  const CallerIdentity missing{KeyState::kMissing, ""};
  const CallerIdentity unknown{KeyState::kUnknown, ""};
  const CallerIdentity one{KeyState::kKnown, "one"};
  for (const CallerIdentity& caller : {missing, unknown}) {
    CHECK_FALSE(MayUseRoute(caller, false));
    CHECK(MayUseRoute(caller, true));
    CHECK_FALSE(MayUseJob(caller, "one", true));
    CHECK_FALSE(MayUseJob(caller, "", false));
    CHECK_FALSE(MayAskForJobs(caller, false));
  }
  CHECK(MayAskForJobs(missing, true));
  CHECK_FALSE(MayAskForJobs(unknown, true));
  CHECK(MayUseJob(missing, "", true));
  CHECK_FALSE(MayUseJob(unknown, "", true));
  CHECK(MayUseRoute(one, false));
  CHECK(MayUseJob(one, "one", false));
  CHECK(MayUseJob(one, "", false));
  CHECK_FALSE(MayUseJob(one, "two", true));
  CHECK(MayUseRoute(off, false));
  CHECK(MayAskForJobs(off, false));
  CHECK(MayUseJob(off, "one", false));
}

TEST_CASE("the priority of a customer precedes that of the route", "[customers]") {
  const auto routes = platform::DecodeConfiguration(
      WithTenants({{{"Name", "urgent"}, {"Priority", 0}}, {{"Name", "usual"}}}));
  REQUIRE(routes);
  const ServiceRoute* route = routes->Match("h.example", "/lookup/1");
  REQUIRE(route != nullptr);
  REQUIRE(route->priority == 2);
  CHECK(routes->PriorityOf(route, "urgent") == 0);
  CHECK(routes->PriorityOf(route, "usual") == 2);
  CHECK(routes->PriorityOf(route, "removed") == 2);
  CHECK(routes->PriorityOf(route, "") == 2);
  CHECK(routes->PriorityOf(nullptr, "urgent") == 0);
  CHECK_FALSE(routes->PriorityOf(nullptr, "usual"));
}

// Guards against rows that the previous build cannot read or that differ without customers, and
// against the loss of the customer when a job ends.
TEST_CASE("the head of a job keeps its customer", "[customers]") {
  BatchHead head;
  head.id = "job";
  head.host = "h";
  head.path = "/p/";
  const std::string without = EncodeHead(head);
  CHECK(DecodeHead("job", without)->customer.empty());
  CHECK_FALSE(json::from_cbor(without).contains("customer"));
  head.customer = "hule930";
  const std::string with = EncodeHead(head);
  REQUIRE(DecodeHead("job", with));
  CHECK(*DecodeHead("job", with) == head);
  json fields = json::from_cbor(with);
  fields.erase("customer");
  CHECK(fields == json::from_cbor(without));
}

// Guards against a customer that reads what was generated for another one by guessing item ids.
TEST_CASE("a carried text goes to jobs of the same customer only", "[customers][carried]") {
  OwnedJob job;
  job.head.customer = "one";
  OwnedItem item;
  item.item.id = "item";
  item.item.group = "g";
  item.phase = ItemPhase::kRunning;
  item.text.Add("text", 1);
  job.items.push_back(item);
  CarriedTexts texts;
  texts.AddIncompleteGroups(job, SteadyNow());
  CHECK_FALSE(texts.Extract("two", "item"));
  CHECK_FALSE(texts.Extract("", "item"));
  CHECK(texts.Extract("one", "item"));
}

// Guards against items that name another customer, in a field of their own or by line breaks in
// another part of the request.
TEST_CASE("the parts of an item cannot set the customer", "[customers]") {
  const auto decode = [](const json& item) {
    auto job = platform::DecodeSubmission("j", "h", "/r/", json{{"Items", {item}}}.dump());
    REQUIRE(job);
    return *job;
  };
  const json good = {{"Id", "i"},
                     {"Path", "/rollout/1"},
                     {"Headers", {{"x-tenant", "other"}, {"X-KEY", "k"}, {"X-Model", "m"}}}};
  BatchJob job = decode(good);
  REQUIRE(platform::RemoveCustomerFields(job));
  CHECK(job.items[0].headers == std::vector<std::pair<std::string, std::string>>{{"X-Model", "m"}});
  const std::string injected = "x\r\nX-Tenant: other";
  std::vector<json> bad(6, good);
  bad[0]["Headers"]["A"] = injected;
  bad[1]["Headers"]["A: b\r\nX-Tenant"] = "other";
  bad[2]["Headers"]["X-Tenant "] = "other";
  bad[3]["Id"] = injected;
  bad[4]["Path"] = "/ HTTP/1.1\r\nX-Tenant: other\r\n\r\n";
  bad[5]["Scorer"] = {{"Id", injected}, {"Host", "h"}, {"Path", "/p"}, {"Body", ""}};
  for (const json& item : bad) {
    CAPTURE(item);
    BatchJob refused = decode(item);
    const auto outcome = platform::RemoveCustomerFields(refused);
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == ErrorCode::kInvalidArgument);
  }
}

TEST_CASE("the customer's field replaces all that the client sent", "[customers]") {
  const HttpHeaders sent({{"X-Tenant", "a"}, {"x-tenant", "b"}, {"X-KEY", "k"}, {"A", "1"}});
  CHECK(platform::WithCustomer(sent, "c") == HttpHeaders({{"A", "1"}, {"X-Tenant", "c"}}));
  CHECK(platform::WithCustomer(sent, "") ==
        HttpHeaders(std::vector<HttpHeaders::Field>{{"A", "1"}}));
  CHECK(platform::CallerKeys(sent) == std::vector<std::string_view>{"k"});
}

// Load pattern: the store answers the feed each 0.6 s, and then rejects this instance alone, or all
// instances, for 9 s.
TEST_CASE("other instances are asked only while the store does not answer", "[customers]") {
  const TimePoint start = TimePoint() + seconds(100);
  PeerQuerySchedule schedule;
  TimePoint answered = start;
  TimePoint now = start;
  for (; now < start + seconds(60); now += milliseconds(10)) {
    if (now - answered >= milliseconds(900)) answered = now;
    REQUIRE(schedule.NextRound(answered) > now);
  }
  const bool peers_confirm = GENERATE(true, false);
  answered = now;
  int rounds = 0;
  std::optional<TimePoint> first;
  for (; now < answered + seconds(9); now += milliseconds(10)) {
    if (schedule.NextRound(answered) > now) continue;
    if (!first) first = now;
    ++rounds;
    schedule.OnRound(peers_confirm ? "peer" : "", now);
  }
  REQUIRE(first);
  CHECK(*first == answered + PeerQuerySchedule::kUnconfirmedLimit);
  CHECK(rounds == (peers_confirm ? 16 : 8));
  CHECK(schedule.NextRound(now) > now);  // the store answers again
}

TEST_CASE("the instance that confirmed last is asked first", "[customers]") {
  PeerQuerySchedule schedule;
  std::mt19937_64 random(1);
  const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
  CHECK(schedule.ChoosePeers({}, random).empty());
  std::set<std::string> asked;
  for (int i = 0; i < 50; ++i) {
    const auto peers = schedule.ChoosePeers(all, random);
    REQUIRE(peers.size() == PeerQuerySchedule::kPeersPerRound);
    CHECK(std::set<std::string>(peers.begin(), peers.end()).size() == peers.size());
    asked.insert(peers.begin(), peers.end());
  }
  CHECK(asked.size() == all.size());
  schedule.OnRound("d", SteadyNow());
  for (int i = 0; i < 20; ++i) CHECK(schedule.ChoosePeers(all, random).front() == "d");
  CHECK(schedule.ChoosePeers({"a"}, random) == std::vector<std::string>{"a"});
}

}  // namespace
}  // namespace anvilcroft
