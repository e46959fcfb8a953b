// When a target began to run a live request, as LiveForwarder and LiveStreamer estimate it, and
// that LiveService counts each attempt once.

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <memory>

#include "anvilcroft/live_service.h"
#include "anvilcroft/platform_view.h"
#include "platform/store_client.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using Kind = LiveOutcome::Kind;

// Tolerance of an estimate on a busy machine.
constexpr int64_t kToleranceMs = 60;
// Longer than the test, which sees the counts of one window.
constexpr Duration kWindow = std::chrono::hours(24 * 3650);

FrontRecord RecordOf(const std::string& name) {
  FrontRecord record;
  record.instance = name;
  record.zone = "a";
  record.address = "127.0.0.1:1";
  return record;
}

// The parts of an instance that serve live requests, behind a server that takes the customer from
// the X-Tenant field.
class LiveFixture : public PlatformFixture {
 public:
  LiveFixture()
      : client(this->runtime, *ParseEndpoint(this->store_address),
               [](const char*, const char*, Duration) {}),
        engine_client(this->runtime),
        view(
            this->runtime, this->client, this->pool, [] {}, [] { return Duration::zero(); }),
        directory(this->runtime, this->client, RecordOf("one"), 800, 0),
        limiter(RequestLimiter::Builder(this->runtime, this->metrics)
                    .SetStore(this->client)
                    .SetDirectory(this->directory)
                    .SetPool(this->pool)
                    .SetSelf("one")
                    .Build()),
        crashes(this->runtime, this->client, this->directory, this->metrics, [] { return false; }),
        origins(this->runtime, this->client, this->directory, this->pool, this->routes),
        forwarder(this->runtime, this->engine_client, *this->limiter, this->crashes, this->pool,
                  this->routes, "a", 1),
        streamer(this->engine_client, *this->limiter, this->crashes, this->origins, this->pool,
                 this->routes, "a", 2),
        recorder(this->runtime, this->client, this->metrics,
                 {"one", kWindow, 800, [] { return 1; }, WallNow()}),
        live(this->forwarder, this->streamer, this->metrics, this->routes) {
    this->live.SetUsageRecorder(this->recorder);
    this->limiter->Start();
    this->crashes.Start();
    this->origins.Start();
    this->view.Start();
    this->directory.Start();
    this->recorder.Start();
    this->server = HttpServer::Builder(this->runtime)
                       .SetAddress("127.0.0.1:0")
                       .SetHandler([this](Task& task, const HttpRequest& request,
                                          HttpReply& reply) { this->Handle(task, request, reply); })
                       .Build();
    this->address = *this->server->Start();
  }
  ~LiveFixture() { this->runtime.EndTasks(); }

  void Handle(Task& task, const HttpRequest& message, HttpReply& reply) {
    LiveRequest request;
    request.message.id = std::string(message.Headers().Find("X-Attempt-Id"));
    request.message.method = message.Method();
    request.message.target = message.Target();
    request.message.headers = HttpHeaders().With("Host", "h.example");
    request.message.body = message.Body();
    request.host = "h.example";
    request.path = message.Path();
    request.deadline = SteadyNow() + milliseconds(1500);
    request.customer = std::string(message.Headers().Find("X-Tenant"));
    request.caller_disconnected = reply.CallerDisconnected();
    request.resume_after = std::atoi(std::string(message.Headers().Find("Last-Event-Id")).c_str());
    request.resumes = std::string(message.Headers().Find("Resumes"));
    const std::string id = request.message.id;
    if (request.path.rfind("/draft/", 0) == 0) {
      this->outcomes[id] = this->live.Stream(task, std::move(request), reply);
    } else {
      this->outcomes[id] = this->live.Forward(task, std::move(request));
    }
    if (this->outcomes[id].kind != Kind::kStreamed) reply.Abort();
  }

  // Sends a request of customer "c" and returns its outcome.
  LiveOutcome Call(Task& task, const std::string& path, const std::string& id,
                   const std::string& body = "", const HttpHeaders& headers = {},
                   Duration patience = seconds(10)) {
    HttpRequest::Builder builder;
    builder.SetMethod("POST")
        .SetTarget(path)
        .SetHeaders(headers)
        .SetHeader("X-Attempt-Id", id)
        .SetHeader("X-Tenant", "c")
        .SetBody(body);
    this->http.Call(task, *ParseEndpoint(this->address), builder.Build(),
                    CallOptions(SteadyNow() + patience).WithFreshConnection());
    this->Await(task, "the outcome", [&] { return this->outcomes.count(id) != 0; });
    return this->outcomes[id];
  }

  void AwaitTargets(Task& task, std::size_t count) {
    this->Await(task, "the targets are listed", [&] {
      return this->directory.Following() && this->view.Routes() != nullptr &&
             this->pool.All().size() >= count;
    });
  }

  // The count of customer "c" in the store.
  int64_t StoredCount(Task& task) {
    const WallMillis now = WallNow();
    this->recorder.Finish(task, SteadyNow() + seconds(5));
    const UsageWindows windows{kWindow};
    RowRange range;
    range.table = kUsageCountsTable;
    int64_t count = 0;
    for (int shard = 0; shard < kUsageShards; ++shard) {
      range.partition = UsagePartition(windows.WindowAt(now), shard);
      const auto read = this->client.Read(task, range, SteadyNow() + seconds(2));
      REQUIRE(read);
      for (const StoredRow& row : read->rows) {
        const auto decoded = DecodeInstanceCounts(row);
        REQUIRE(decoded);
        CHECK(decoded->row.final);
        for (const auto& [customer, value] : decoded->row.counts) {
          CHECK(customer == "c");
          count += value;
        }
      }
    }
    return count;
  }

  static void CheckNear(std::optional<WallMillis> began_at, TimePoint expected) {
    REQUIRE(began_at);
    const WallMillis wall = WallNow() - ToMillis(SteadyNow() - expected);
    CHECK(std::abs(*began_at - wall) <= kToleranceMs);
  }

  Metrics metrics;
  platform::StoreClient client;
  platform::EngineClient engine_client;
  TargetPool pool;
  PlatformView view;
  FrontDirectory directory;
  LiveForwarder::Routes routes = [this] { return this->view.Routes(); };
  std::unique_ptr<RequestLimiter> limiter;
  CrashLimiter crashes;
  StreamOrigins origins;
  LiveForwarder forwarder;
  LiveStreamer streamer;
  UsageRecorder recorder;
  LiveService live;
  std::unique_ptr<HttpServer> server;
  std::string address;
  std::map<std::string, LiveOutcome> outcomes;
};

// Guards against a begin at the time of the answer, which puts requests near the end of a window
// into the next one, and against counting refusals and hedges.
TEST_CASE_METHOD(LiveFixture, "a short request begins when the first target has received it",
                 "[usage_begin]") {
  fakes::PlatformEngine second(this->runtime, "i-app2", "");
  REQUIRE(second.Start());
  this->store.Put("servers", "i-app2", second.RegistrationEntry("app", "a"));
  this->app.event_time = second.event_time = milliseconds(400);
  this->Run([&](Task& task) {
    this->AwaitTargets(task, 2);
    // Slower than the delay of a hedge, so both targets run it.
    const LiveOutcome hedged = this->Call(task, "/lookup/x", "hedged");
    CHECK(hedged.kind == Kind::kAnswered);
    CHECK(hedged.attempts == 2);
    REQUIRE(this->app.arrivals.size() + second.arrivals.size() == 2);
    CheckNear(hedged.began_at, std::min(this->app.arrivals.front(), second.arrivals.front()));
    this->app.arrivals.clear();
    second.arrivals.clear();
    this->app.planned_statuses["refused"] = second.planned_statuses["refused"] = {503};
    const LiveOutcome refused = this->Call(task, "/slip/x", "refused");
    CHECK(refused.kind == Kind::kNotRun);
    CHECK_FALSE(refused.began_at);
    // Both have used up their refusal, so this attempt runs.
    const LiveOutcome run = this->Call(task, "/slip/x", "refused");
    CHECK(run.kind == Kind::kAnswered);
    CHECK(run.began_at);
    this->app.planned_statuses["failed"] = second.planned_statuses["failed"] = {500};
    CHECK(this->Call(task, "/slip/x", "failed").began_at);
    CHECK(this->StoredCount(task) == 3);
  });
}

// Guards against requests that a target ran but that are not counted because their answer was lost.
TEST_CASE_METHOD(LiveFixture, "a request whose answer was lost counts as run", "[usage_begin]") {
  this->app.event_time = milliseconds(5);
  this->Run([&](Task& task) {
    this->AwaitTargets(task, 1);
    this->app.Server().Faults().mode = fakes::FaultPlan::Mode::kSilent;
    const TimePoint sent = SteadyNow();
    const LiveOutcome silent = this->Call(task, "/slip/x", "silent");
    CHECK(silent.kind != Kind::kNotRun);
    CheckNear(silent.began_at, sent);
    this->app.Server().Faults().mode = fakes::FaultPlan::Mode::kUp;
    this->app.crashing_bodies.insert("crash");
    const LiveOutcome crashed = this->Call(task, "/slip/x", "crashed", "crash");
    CHECK(crashed.kind == Kind::kUnknown);
    CHECK(crashed.began_at);
    // Nobody listens until the target is back, so nothing was sent.
    this->app.Server().Crash();
    const LiveOutcome down = this->Call(task, "/slip/x", "down");
    CHECK(down.kind == Kind::kNotRun);
    CHECK_FALSE(down.began_at);
    CHECK(this->StoredCount(task) == 2);
  });
}

// Guards against streams that count when they are sent or when they end, streams without an event,
// and a second count when a caller takes up its stream in the same attempt.
TEST_CASE_METHOD(LiveFixture, "a stream begins with its first event", "[usage_begin]") {
  fakes::PlatformEngine& engine = this->AddEngine("i-model");
  engine.event_time = milliseconds(250);
  engine.events_per_item = 3;
  this->Run([&](Task& task) {
    this->AwaitTargets(task, 2);
    const LiveOutcome whole = this->Call(task, "/draft/x", "whole");
    CHECK(whole.kind == Kind::kStreamed);
    REQUIRE_FALSE(engine.arrivals.empty());
    CheckNear(whole.began_at, engine.arrivals.front() + engine.event_time);
    const LiveOutcome gone = this->Call(task, "/draft/x", "gone", "", {}, milliseconds(100));
    CHECK(gone.kind == Kind::kInterrupted);  // its response had been started
    CHECK_FALSE(gone.began_at);
    const auto resume = HttpHeaders().With("Last-Event-Id", "1");
    const auto same = resume.With("Resumes", "taken-up");
    CHECK(this->Call(task, "/draft/x", "taken-up", "", same).began_at);
    const auto other = resume.With("Resumes", "whole");
    CHECK(this->Call(task, "/draft/x", "next attempt", "", other).began_at);
    CHECK(this->StoredCount(task) == 2);
  });
}

}  // namespace
}  // namespace anvilcroft
