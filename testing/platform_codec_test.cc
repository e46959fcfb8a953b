// Tests the decoders of the platform's messages with values that other writers put into the store,
// damaged input, and answers that belong to other requests.

#include <catch2/catch.hpp>
#include <random>

#include "anvilcroft/base64.h"
#include "anvilcroft/batch_records.h"
#include "anvilcroft/batch_store.h"
#include "anvilcroft/front_settings.h"
#include "anvilcroft/sse_splitter.h"
#include "platform/batch_wire.h"
#include "platform/engine_client.h"
#include "platform/headers.h"
#include "platform/operator_rows.h"
#include "platform/store_client.h"
#include "testing/fake_test_util.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr char kEntry[] =
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":8,"State":"ready",
"ColdRemainingMs":0,"Stage":"hybrid","Models":[{"Name":"m","Version":3,"Adapters":[]}],"Sequence":4,
"born":1700000000000})";

std::string Damage(std::string text, std::mt19937_64& random) {
  for (uint64_t edits = random() % 4 + 1; edits > 0 && !text.empty(); --edits) {
    const std::size_t at = random() % text.size();
    if (random() % 2 == 0) {
      text[at] = static_cast<char>(random());
    } else {
      text.erase(at, random() % 8);
    }
  }
  return text;
}

TEST_CASE("a target entry is decoded", "[platform_codec]") {
  const auto entry = platform::DecodeTargetEntry("i", kEntry);
  REQUIRE(entry);
  CHECK(entry->id == "i");
  CHECK(entry->service == "s");
  CHECK(entry->address == Endpoint{"10.0.0.1", 80});
  CHECK(entry->slots == 8);
  CHECK_FALSE(entry->draining);
  CHECK(entry->started_at == 1700000000000);
  CHECK(entry->versions == std::map<std::string, int64_t>{{"m", 3}});
}

// Other writers may store any value. An invalid entry must not become a target.
TEST_CASE("entries with missing fields or fields of a wrong type or value are refused",
          "[platform_codec]") {
  for (const char* field : {"Service", "Address", "State"}) {
    json entry = json::parse(kEntry);
    entry.erase(field);
    CHECK_FALSE(platform::DecodeTargetEntry("i", entry.dump()));
    entry[field] = 5;
    CHECK_FALSE(platform::DecodeTargetEntry("i", entry.dump()));
    entry[field] = "what";
    if (std::string(field) != "Service") {
      CHECK_FALSE(platform::DecodeTargetEntry("i", entry.dump()));
    }
  }
  json entry = json::parse(kEntry);
  entry["Slots"] = "many";
  CHECK_FALSE(platform::DecodeTargetEntry("i", entry.dump()));
  CHECK_FALSE(platform::DecodeTargetEntry("i", "\xff\x00"));
}

TEST_CASE("a configuration is decoded with its kinds, times and traffic splits",
          "[platform_codec]") {
  json config = PlatformFixture::Configuration(7);
  config["Routes"][0].erase("Service");
  config["Routes"][0]["TrafficSplit"] =
      json::array({{{"Service", "x"}, {"Weight", 90}}, {{"Service", "y"}, {"Weight", 10}}});
  config["Unknown"] = 1;
  const auto table = platform::DecodeConfiguration(config.dump());
  REQUIRE(table);
  CHECK(table->Version() == 7);
  const ServiceRoute* lookup = table->Match("h.example", "/lookup/1");
  REQUIRE(lookup != nullptr);
  CHECK(lookup->kind == RouteKind::kRepeatable);
  CHECK(lookup->timeout == milliseconds(1500));
  CHECK(lookup->split == TrafficSplit::Builder().Add("x", 90).Add("y", 10).Build());
  CHECK(table->Match("h.example", "/slip/1")->kind == RouteKind::kOnce);
  const ServiceRoute* rollout = table->Match("h.example", "/rollout/1");
  CHECK(rollout->result_target == milliseconds(7500));
  CHECK(rollout->item_lifetime == seconds(12));
  CHECK(table->FindService("model")->models == std::vector<std::string>{"m"});
}

TEST_CASE("damaged input never crashes a decoder", "[platform_codec]") {
  std::mt19937_64 random(11);
  const std::string config = PlatformFixture::Configuration(7).dump();
  const std::string step = PlatformFixture::Step("x", 3);
  BatchItem item;
  item.id = "1";
  const std::string items = EncodeItems({item})->front();
  for (int round = 0; round < 3000; ++round) {
    platform::DecodeTargetEntry("i", Damage(kEntry, random));
    platform::DecodeConfiguration(Damage(config, random));
    platform::DecodeSubmission("j", "h", "/p", Damage(step, random));
    StoredRow row;
    row.id.key = "version/m";
    row.value = Damage(R"({"Model":"m","Version":2})", random);
    platform::DecodeRequestedVersion(row);
    DecodeItems(Damage(items, random));
    DecodeHead("j", Damage(EncodeHead(BatchHead()), random));
    ResultDecoder().Add(Damage(EncodeResult(ItemResult()).front(), random));
    Base64Decode(Damage("q83vEjRWeJA=", random));
    platform::DecodeLoadReport(HttpHeaders().With("X-Instance-Load", Damage("3,0,8,100", random)));
  }
}

TEST_CASE("base64 decoding is strict and inverts the encoding", "[platform_codec]") {
  std::mt19937_64 random(3);
  for (std::size_t size = 0; size < 70; ++size) {
    std::string bytes(size, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    CHECK(Base64Decode(Base64Encode(bytes)) == bytes);
  }
  for (const char* bad : {"a", "abc", "a===", "ab=c", "ab c", "abc\n", "=abc"}) {
    CHECK_FALSE(Base64Decode(bad));
  }
}

TEST_CASE("header fields that concern one connection are not forwarded", "[platform_codec]") {
  const HttpHeaders headers({{"Host", "h"},
                             {"Connection", "close, X-Hop"},
                             {"X-Hop", "1"},
                             {"Transfer-Encoding", "chunked"},
                             {"X-Model", "m"},
                             {"Keep-Alive", "timeout=5"}});
  const HttpHeaders forwarded = platform::EndToEndHeaders(headers);
  CHECK(forwarded.Fields().size() == 2);
  CHECK(forwarded.Find("X-Model") == "m");
  CHECK(platform::DecodeLoadReport(HttpHeaders().With("X-Instance-Load", "3,1,8,250"))->slowdown ==
        2.5);
  CHECK_FALSE(platform::DecodeLoadReport(HttpHeaders().With("X-Instance-Load", "3,1")));
}

TEST_CASE("a submission is decoded with groups, hints and judging requests", "[platform_codec]") {
  json step = json::parse(PlatformFixture::Step("x", 1, 6));
  step["Items"][0]["Headers"]["X-Length-Hint"] = "320";
  const auto job = platform::DecodeSubmission("j", "h", "/p", step.dump());
  REQUIRE(job);
  CHECK(job->head.min_version == 6);
  CHECK(job->head.total == 2);
  CHECK(job->items[0].expected_tokens == 320);
  CHECK(job->items[0].max_output_tokens == 400);
  CHECK(job->items[0].body == "prompt of x0");
  REQUIRE(job->items[1].score);
  CHECK(job->items[1].score->body == "judge x1");
  const ItemResult expired{"x0", false, "", {}, ""};
  const ItemResult done{"x1", true, std::string(100, 't'), {6, 7}, "sig"};
  const json page = json::parse(platform::EncodeResults(9, 4, {expired, done}, 1 << 20));
  CHECK(page["Next"] == 6);
  CHECK(page["Results"][0]["State"] == "expired");
  CHECK(page["Results"][1]["Versions"] == json::array({6, 7}));
  // A page has at least one result, however large.
  CHECK(json::parse(platform::EncodeResults(9, 4, {done, done}, 10))["Next"] == 5);
}

TEST_CASE("the store client distinguishes the outcomes of its calls", "[platform_store]") {
  Runtime runtime;
  fakes::PlatformStore fake(runtime);
  std::string last;
  platform::StoreClient store(runtime, *ParseEndpoint(*fake.Start()),
                              [&](const char*, const char* outcome, Duration) { last = outcome; });
  fakes::RunTask(runtime, [&](Task& task) {
    const RowId id{"t", "p", "k"};
    const auto create = RowBatch::Builder().Expect(id, 0).Put(id, "v").Build();
    const auto soon = [] { return SteadyNow() + milliseconds(300); };
    const auto first = store.Commit(task, create, soon());
    REQUIRE(first);
    CHECK(first->committed);
    const StoreTimeRange store_time = store.StoreTime(BootNow());
    CHECK(store_time.earliest > 0);
    CHECK(store_time.latest >= store_time.earliest);
    const auto second = store.Commit(task, create, soon());
    REQUIRE(second);
    CHECK_FALSE(second->committed);
    REQUIRE(second->current.size() == 1);
    CHECK(second->current[0].value == "v");
    CHECK(second->current[0].version == first->version);
    // The transaction is applied, but its answer is lost.
    fake.Server().Faults().lose_answers = 1;
    const RowId other{"t", "p", "l"};
    const auto lost =
        store.Commit(task, RowBatch::Builder().Expect(other, 0).Put(other, "w").Build(), soon());
    REQUIRE_FALSE(lost);
    CHECK(lost.error().code == ErrorCode::kOutcomeUnknown);
    CHECK(lost.error().ran == Ran::kUnknown);
    CHECK(fake.Value(other) == "w");
    fake.Server().SetFaults(*fakes::ChangeFaults({}, {{"mode", "down"}}));
    const auto refused = store.Commit(task, create, soon());
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::kStoreUnavailable);
    CHECK(refused.error().ran == Ran::kNo);
    CHECK(last == "refused");
    fake.Server().SetFaults(fakes::FaultPlan());
    const auto feed = store.Feed(task, "t", 0, milliseconds(10));
    REQUIRE(feed);
    CHECK(feed->rows.size() == 2);
    fake.DropHistory();
    const auto gone = store.Feed(task, "t", 0, milliseconds(10));
    REQUIRE(gone);
    CHECK(gone->history_lost);
    RowRange range;
    range.table = "t";
    range.partition = "p";
    range.max_rows = 1;
    const auto page = store.Read(task, range, soon());
    REQUIRE(page);
    CHECK(page->more);
    CHECK(store.Partitions(task, "t", "", soon()) == std::vector<std::string>{"p"});
  });
}

// Guards against a job that is stored twice because the first attempt of a retried transaction is
// applied late. Whichever attempt is applied first makes the other one fail.
TEST_CASE("a submission that is applied late does not create a second job", "[platform_store]") {
  Runtime runtime;
  fakes::PlatformStore fake(runtime);
  platform::StoreClient store(runtime, *ParseEndpoint(*fake.Start()), {});
  BatchStore batches(store);
  fakes::RunTask(runtime, [&](Task& task) {
    BatchJob job;
    job.head.id = "j";
    job.items.resize(3);
    job.head.total = 3;
    fake.Server().Faults().lose_answers = 1;
    fake.Server().Faults().delay_apply_ms = 900;
    const auto stored = batches.Submit(task, job, SteadyNow() + seconds(5));
    REQUIRE(stored);
    SleepUntil(task, SteadyNow() + milliseconds(600));
    CHECK(fake.CountRows(kBatchHeadTable) == 1);
    const auto again = batches.Submit(task, job, SteadyNow() + seconds(5));
    REQUIRE(again);
    CHECK_FALSE(*again);
  });
}

TEST_CASE("results keep their positions if two writers list them", "[platform_store]") {
  Runtime runtime;
  fakes::PlatformStore fake(runtime);
  platform::StoreClient store(runtime, *ParseEndpoint(*fake.Start()), {});
  BatchStore batches(store);
  fakes::RunTask(runtime, [&](Task& task) {
    const auto soon = [] { return SteadyNow() + seconds(3); };
    const ItemResult a{"a", true, "text", {1}, "s"};
    const ItemResult b{"b", false, "", {}, ""};
    const auto one = batches.AppendResults(task, "j", ResultListing(), {a}, soon());
    REQUIRE(one);
    const auto stale = batches.AppendResults(task, "j", ResultListing(), {b}, soon());
    REQUIRE_FALSE(stale);
    CHECK(stale.error().code == ErrorCode::kConflict);
    const auto two = batches.AppendResults(task, "j", *one, {b}, soon());
    REQUIRE(two);
    CHECK(batches.ReadListing(task, "j", soon())->count == 2);
    CHECK(batches.ReadResults(task, "j", 0, 10, soon()) == std::vector<ItemResult>{a, b});
    CHECK(batches.ReadResults(task, "j", 1, 10, soon()) == std::vector<ItemResult>{b});
  });
}

constexpr char kSettings[] = R"(instance_id: "front-1"
zone: "z"
region: "r"
cpu_share: 0.5
log_level: info
address:
  front: "127.0.0.1:1"
  directory: "127.0.0.1:2"
  ready: "127.0.0.1:3"
  metrics: "127.0.0.1:4"
  store: "127.0.0.1:5"
timing:
  grace_s: 8
  address_ttl_s: 2
  owner_lease_ms: 3000
  cancel_ms: 3000
)";

TEST_CASE("problems in the settings of a front instance are reported with their line",
          "[front_settings]") {
  const auto settings = ParseFrontSettings(kSettings, "f.yaml");
  REQUIRE(settings);
  CHECK(settings->StoreAddress() == Endpoint{"127.0.0.1", 5});
  CHECK(settings->OwnerLease() == seconds(3));
  CHECK(settings->CpuShare() == 0.5);
  CHECK(settings->Limits() == ProcessLimits());
  const std::string text = kSettings;
  const auto limited =
      ParseFrontSettings(text + "limits:\n  memory_mb: 120\n  max_descriptors: 3075\n", "f.yaml");
  REQUIRE(limited);
  CHECK(limited->Limits() == ProcessLimits{120000000, 3075});
  CHECK_FALSE(ParseFrontSettings(text + "limits:\n  memory_mb: 0\n", "f.yaml"));
  const auto broken =
      ParseFrontSettings(text.substr(0, text.find("  store")) + "  stor: 1\n", "f.yaml");
  REQUIRE_FALSE(broken);
  REQUIRE(broken.error().size() == 2);
  CHECK(broken.error().back().line == 11);
  std::mt19937_64 random(5);
  for (int round = 0; round < 2000; ++round) ParseFrontSettings(Damage(text, random), "f.yaml");
}

// Guards against duties that start where the platform does not ask for them, and against a wrong
// window length, which would make every report a report of another window.
TEST_CASE("the section of the cloud API is optional and checked", "[front_settings]") {
  const std::string text = kSettings;
  const auto none = ParseFrontSettings(text, "f.yaml");
  REQUIRE(none);
  CHECK_FALSE(none->Cloud());
  const auto defaults = ParseFrontSettings(text + "cloud:\n  address: \"127.0.0.1:9\"\n", "f.yaml");
  REQUIRE(defaults);
  REQUIRE(defaults->Cloud());
  CHECK(defaults->Cloud()->address == Endpoint{"127.0.0.1", 9});
  CHECK_FALSE(defaults->Cloud()->report_usage);
  CHECK_FALSE(defaults->Cloud()->order_engines);
  CHECK_FALSE(defaults->Cloud()->checks_fencing);
  CHECK(defaults->Cloud()->usage_window == seconds(5));
  CHECK(defaults->Cloud()->usage_due == seconds(10));
  const auto full = ParseFrontSettings(text + R"(cloud:
  address: "127.0.0.1:9"
  calls_per_s: 2.5
  duties: ["usage_report", "autoscale", "a later one"]
  checks_fencing: true
  usage_window_s: 1.5
  usage_due_s: 4
)",
                                       "f.yaml");
  REQUIRE(full);
  REQUIRE(full->Cloud());
  CHECK(full->Cloud()->calls_per_s == 2.5);
  CHECK(full->Cloud()->report_usage);
  CHECK(full->Cloud()->order_engines);
  CHECK(full->Cloud()->checks_fencing);
  CHECK(full->Cloud()->usage_window == milliseconds(1500));
  CHECK(full->Cloud()->usage_due == seconds(4));
  for (const char* wrong : {"  calls_per_s: 0\n", "  usage_window_s: 0\n", "  usage_due_s: soon\n",
                            "  checks_fencing: 3\n", "  usage_windows: 5\n"}) {
    INFO(wrong);
    const auto broken =
        ParseFrontSettings(text + "cloud:\n  address: \"127.0.0.1:9\"\n" + wrong, "f.yaml");
    REQUIRE_FALSE(broken);
    CHECK(broken.error().front().line == 19);
  }
}

// Feeds the stream in pieces of every size. SseParser, which parses the fields, is the oracle.
TEST_CASE("a stream is split into events without changing their bytes", "[platform]") {
  const std::string text =
      ": comment\n\nx-weight-versions: 7\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"
      "id: 3\nevent: end\n\nid: 4\ndata: cut";
  SseParser oracle;
  const auto fields = oracle.Feed(text);
  REQUIRE(fields);
  for (std::size_t size = 1; size < text.size(); ++size) {
    SseSplitter splitter;
    std::vector<SseEvent> events;
    std::string bytes;
    for (std::size_t at = 0; at < text.size(); at += size) {
      const auto parts = splitter.Feed(text.substr(at, size));
      REQUIRE(parts);
      for (const auto& part : *parts) {
        events.push_back(part.event);
        bytes += part.bytes;
      }
    }
    CHECK(events == *fields);
    CHECK(": comment\n\n" + bytes + "id: 4\ndata: cut" == text);
    CHECK_FALSE(splitter.AtBoundary());
  }
  SseSplitter endless;
  CHECK_FALSE(endless.Feed(std::string(SseParser::kMaxEventBytes + 1, 'x')));
}

}  // namespace
}  // namespace anvilcroft
