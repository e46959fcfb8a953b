// Tests the queries for a newer configuration against peers whose answers are old, damaged or those
// of another build.

#include <catch2/catch.hpp>

#include "anvilcroft/customers/config_peers.h"
#include "fakes/fake_server.h"
#include "platform/store_client.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

std::string Configuration(int64_t version) {
  json config = PlatformFixture::Configuration(version);
  config["Tenants"] = {{{"Name", "one"}, {"ApiKeys", {"key"}}}};
  return config.dump();
}

// A view of a store that rejects all calls, and one peer with a given answer.
class PeerFixture {
 public:
  PeerFixture()
      : peer(this->runtime, "127.0.0.1:0"),
        store(this->runtime, Endpoint{"127.0.0.1", 1}, [](const char*, const char*, Duration) {}),
        view(
            this->runtime, this->store, this->pool, [] {}, [] { return Duration::zero(); }),
        peers(
            this->runtime, this->view, this->metrics,
            [this] {
              return std::vector<std::string>{"", "nonsense", this->peer_address};
            },
            1) {
    this->peer.SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
      this->queries.push_back(request.Target());
      reply.Send(task, this->answer);
    });
    this->peer_address = *this->peer.Start();
    REQUIRE(this->view.ApplyConfiguration(Configuration(3)));
    this->peers.Start();
  }
  ~PeerFixture() { this->runtime.EndTasks(); }

  // Waits until the peer has been asked `count` times more.
  void AwaitQueries(Task& task, std::size_t count) {
    const std::size_t before = this->queries.size();
    REQUIRE(testing::WaitUntil(
        task, [&] { return this->queries.size() >= before + count; }, seconds(20)));
    SleepUntil(task, SteadyNow() + milliseconds(50));
  }

  static HttpResponse Answer(const std::string& body, const std::string& age) {
    HttpResponse::Builder builder;
    if (!age.empty()) builder.SetHeader(ConfigPeers::kAgeField, age);
    return builder.SetBody(body).Build();
  }

  Runtime runtime;
  fakes::FakeServer peer;
  platform::StoreClient store;
  TargetPool pool;
  Metrics metrics;
  PlatformView view;
  ConfigPeers peers;
  std::string peer_address;
  HttpResponse answer;
  std::vector<std::string> queries;
};

// Guards against an earlier build, which answers any path with its metrics, and other answers that
// are taken for a configuration; and against a version that goes back.
TEST_CASE("only a valid newer configuration of a peer comes into force", "[customers][peers]") {
  PeerFixture fixture;
  testing::RunTask(fixture.runtime, [&](Task& task) {
    const std::vector<HttpResponse> ignored = {PeerFixture::Answer("anvilcroft_targets 3\n", ""),
                                               PeerFixture::Answer(Configuration(5), ""),
                                               PeerFixture::Answer(Configuration(5), "soon"),
                                               PeerFixture::Answer(Configuration(5), "-1"),
                                               PeerFixture::Answer("{\"Version\":5", "0"),
                                               PeerFixture::Answer(Configuration(2), "0"),
                                               PeerFixture::Answer("", "0"),
                                               HttpResponse::Builder()
                                                   .SetStatus(503)
                                                   .SetHeader(ConfigPeers::kAgeField, "0")
                                                   .SetBody(Configuration(5))
                                                   .Build()};
    for (const HttpResponse& answer : ignored) {
      CAPTURE(answer.Body().substr(0, 40));
      fixture.answer = answer;
      fixture.AwaitQueries(task, 1);
      CHECK(fixture.view.Routes()->Version() == 3);
    }
    CHECK(fixture.queries.back() == "/config?after=3");
    // A configuration that the store has not confirmed to the peer for long may be newer still.
    fixture.answer = PeerFixture::Answer(Configuration(6), "3600000");
    fixture.AwaitQueries(task, 1);
    CHECK(fixture.view.Routes()->Version() == 6);
    CHECK(fixture.view.RoutesRow() == Configuration(6));
    fixture.answer = PeerFixture::Answer(Configuration(4), "0");
    fixture.AwaitQueries(task, 2);
    CHECK(fixture.view.Routes()->Version() == 6);
    CHECK(fixture.queries.back() == "/config?after=6");
  });
}

// Guards against traffic between instances on sites without customers.
TEST_CASE("without customers no instance is asked", "[customers][peers]") {
  PeerFixture fixture;
  REQUIRE(fixture.view.ApplyConfiguration(PlatformFixture::Configuration(4).dump()));
  testing::RunTask(fixture.runtime, [&](Task& task) {
    SleepUntil(task, SteadyNow() + milliseconds(2500));
    CHECK(fixture.queries.empty());
  });
}

}  // namespace
}  // namespace anvilcroft
