// Tests requests that are sent to a target through another instance.

#include <algorithm>
#include <catch2/catch.hpp>

#include "anvilcroft/sse_parser.h"
#include "anvilcroft/target_relay.h"
#include "testing/cut_fixture.h"

namespace anvilcroft {
namespace {

using fakes::FakeLink;
using fakes::PlatformEngine;

constexpr char kCrashing[] = "a request that crashes its targets";

// One instance that is cut off from all targets and one that is not.
class RelayFixture : public CutFixture {
 public:
  RelayFixture() : CutFixture(1, 4, 3) { this->AddInstance("relay"); }

  // Waits until the first instance is cut off and knows it.
  void CutOff(Task& task) {
    this->AwaitAllReady(task);
    this->SetLinks(1, 1, FakeLink::Mode::kRefuse);
    this->Await(task, "requests go through the other instance", [&] {
      const auto answer = this->Send(task, this->CutOffAddress(), "POST", "/lookup/1", "warm");
      return answer && answer->Status() == 200;
    });
  }

  const std::string& CutOffAddress() { return this->instances[0]->FrontAddress(); }

  // Sends a request to the internal address of the other instance as a cut-off instance does.
  Result<HttpResponse> SendToRelay(Task& task, const std::string& target,
                                   const std::string& started_at) {
    return this->http.Call(task, *ParseEndpoint(this->instances[1]->MetricsAddress()),
                           HttpRequest::Builder()
                               .SetMethod("POST")
                               .SetTarget("/lookup/1")
                               .SetHeaders(HttpHeaders({{"Host", "h.example"},
                                                        {"X-Attempt-Id", "r1"},
                                                        {TargetRelay::kTargetField, target},
                                                        {"Anvilcroft-Relay-Started-At", started_at},
                                                        {"Anvilcroft-Relay-Timeout-Ms", "1000"}}))
                               .Build(),
                           CallOptions(SteadyNow() + seconds(5)));
  }
};

// Guards against a stream that ends as if it were complete because the instance that relays it ends
// it, and against one that goes on with a gap.
TEST_CASE("a relayed stream that breaks off is continued or aborted", "[cutoff]") {
  RelayFixture fixture;
  fixture.Run([&](Task& task) {
    fixture.CutOff(task);
    for (auto& engine : fixture.engines) engine->break_after_events = 3;
    const auto resumed =
        fixture.Send(task, fixture.CutOffAddress(), "POST", "/draft/1", "d1", "prompt");
    REQUIRE(resumed);
    CHECK(resumed->Status() == 200);
    SseParser parser;
    const auto events = parser.Feed(resumed->Body());
    REQUIRE(events);
    REQUIRE(events->size() == 6);
    for (std::size_t i = 0; i < events->size(); ++i) {
      CHECK((*events)[i].id == std::to_string(i + 1));
    }
    for (auto& engine : fixture.engines) engine->break_after_events = 3;
    CHECK_FALSE(
        fixture.Send(task, fixture.CutOffAddress(), "POST", "/dictation/1", "d2", "prompt"));
  });
}

// Guards against targets that go on with the request of a caller who has left.
TEST_CASE("a relayed request ends when its caller leaves", "[cutoff]") {
  RelayFixture fixture;
  fixture.Run([&](Task& task) {
    fixture.CutOff(task);
    for (auto& engine : fixture.engines) {
      engine->events_per_item = 1000;
      engine->event_time = milliseconds(10);
    }
    const HttpRequest request = fakes::CallerRequest("POST", "/draft/1", "left", "prompt", "8000");
    fixture.http.Call(task, *ParseEndpoint(fixture.CutOffAddress()), request,
                      CallOptions(SteadyNow() + milliseconds(300)).WithFreshConnection());
    fixture.Await(task, "the engine's run ends", [&] {
      return std::any_of(fixture.engines.begin(), fixture.engines.end(),
                         [](const auto& engine) { return engine->cancelled.count("left") != 0; });
    });
  });
}

// Guards against requests to a target that has left or has been replaced, which the asking instance
// does not know yet.
TEST_CASE("an instance relays only to targets that it may use itself", "[cutoff]") {
  RelayFixture fixture;
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    const auto relayed = fixture.SendToRelay(task, "i-app", "1000");
    REQUIRE(relayed);
    CHECK(relayed->Status() == 200);
    auto entry = nlohmann::json::parse(fixture.app.RegistrationEntry("app", "a"));
    entry["State"] = "draining";
    fixture.store.Put("servers", "i-app", entry.dump());
    SleepUntil(task, SteadyNow() + milliseconds(300));
    const std::pair<std::string, std::string> unusable[] = {
        {"i-app", "1000"}, {"i-app2", "999"}, {"i-none", "1000"}};
    for (const auto& [target, started_at] : unusable) {
      const auto refused = fixture.SendToRelay(task, target, started_at);
      REQUIRE(refused);
      CHECK(refused->Status() == 502);
      CHECK(refused->Headers().Find("Anvilcroft-Relay-Error") == "not_found");
      CHECK(refused->Headers().Find("Anvilcroft-Relay-Ran") == "no");
    }
  });
}

// Guards against a count of crashes that misses those under relayed requests, and that takes an
// instance's own lost paths for crashes.
TEST_CASE("crashes under relayed requests count, and lost paths do not", "[cutoff]") {
  RelayFixture fixture;
  std::vector<PlatformEngine*> apps = {&fixture.app};
  for (auto& app : fixture.more_apps) apps.push_back(app.get());
  for (PlatformEngine* app : apps) {
    app->on_restart = [&fixture, app] {
      fixture.store.Put("servers", app->Id(), app->RegistrationEntry("app", "a"));
    };
  }
  fixture.Run([&](Task& task) {
    fixture.CutOff(task);
    // Requests whose connections break while the instance is cut off are served.
    for (int i = 0; i < 10; ++i) {
      const auto sound = fixture.Send(task, fixture.CutOffAddress(), "POST", "/lookup/1",
                                      "s" + std::to_string(i), "a sound request");
      REQUIRE(sound);
      CHECK(sound->Status() == 200);
    }
    for (PlatformEngine* app : apps) app->crashing_bodies = {kCrashing};
    for (int i = 0; i < 30; ++i) {
      fixture.Send(task, fixture.CutOffAddress(), "POST", "/lookup/1", "c" + std::to_string(i),
                   kCrashing, "1500");
      SleepUntil(task, SteadyNow() + milliseconds(100));
    }
    std::size_t crashes = 0;
    for (PlatformEngine* app : apps) crashes += app->crashes.size();
    CHECK(crashes >= 3);
    CHECK(crashes <= 6);
  });
}

}  // namespace
}  // namespace anvilcroft
