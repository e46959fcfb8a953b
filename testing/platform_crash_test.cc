// Tests that a request that crashes its targets reaches only a few of them, and that requests under
// which targets crashed for other reasons are served.

#include <algorithm>
#include <catch2/catch.hpp>

#include "testing/platform_fixture.h"
#include "testing/process_site.h"

namespace anvilcroft {
namespace {

using fakes::PlatformEngine;
using Targets = std::vector<PlatformEngine*>;

constexpr char kCrashing[] = "a request that crashes its targets";

// The platform's rule: a request that has crashed kCrashes targets reaches targets at most
// kMaxRetries times later than kGrace after that.
constexpr std::size_t kCrashes = 3;
constexpr int kMaxRetries = 3;
constexpr Duration kGrace = milliseconds(3000);
// An instance learns of the crashes that others have seen within a fraction of a second. By then
// each may have sent the request to as many targets as its route allows.
constexpr std::size_t kMaxUnknown = 3;

// When the targets crashed, in order.
std::vector<TimePoint> CrashTimes(const Targets& targets) {
  std::vector<TimePoint> times;
  for (const PlatformEngine* target : targets) {
    times.insert(times.end(), target->crashes.begin(), target->crashes.end());
  }
  std::sort(times.begin(), times.end());
  return times;
}

void CheckFewCrashes(const Targets& targets) {
  const std::vector<TimePoint> times = CrashTimes(targets);
  REQUIRE(times.size() >= kCrashes);
  const TimePoint late = times[kCrashes - 1] + kGrace;
  CHECK(std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at > late; }) <=
        kMaxRetries);
  CHECK(times.size() <= kCrashes + kMaxUnknown + kMaxRetries);
}

class CrashFixture : public PlatformFixture {
 public:
  explicit CrashFixture(int instance_count) {
    this->apps.push_back(&this->app);
    for (int i = 2; i <= 6; ++i) {
      const std::string id = "i-app" + std::to_string(i);
      this->more_apps.push_back(std::make_unique<PlatformEngine>(this->runtime, id, ""));
      REQUIRE(this->more_apps.back()->Start());
      this->apps.push_back(this->more_apps.back().get());
    }
    for (PlatformEngine* target : this->apps) this->Register(*target, "app");
    for (int i = 1; i <= instance_count; ++i) this->AddInstance("n" + std::to_string(i));
  }

  // Lists `target` now and whenever it has started again.
  void Register(PlatformEngine& target, const std::string& service) {
    target.crashing_bodies = {kCrashing};
    const auto listed = std::make_shared<std::string>();
    const auto write = [this, &target, service, listed] {
      if (!listed->empty()) this->store.Remove("servers", *listed);
      *listed = target.Id();
      this->store.Put("servers", *listed, target.RegistrationEntry(service, "a"));
    };
    target.on_restart = write;
    write();
  }

  // Sends the same request every 50 ms for `duration`, to the instances in turn. Returns the last
  // answer.
  Result<HttpResponse> SendAgainAndAgain(Task& task, const std::string& path, Duration duration) {
    Result<HttpResponse> answer = Fail(ErrorCode::kInternal, "nothing has been sent");
    const TimePoint end = SteadyNow() + duration;
    for (std::size_t i = 0; SteadyNow() < end; ++i) {
      const std::string address = this->instances[i % this->instances.size()]->FrontAddress();
      answer = this->Send(task, address, "POST", path, "c" + std::to_string(i), kCrashing, "1500");
      SleepUntil(task, SteadyNow() + milliseconds(50));
    }
    return answer;
  }

  Targets apps;
  std::vector<std::unique_ptr<PlatformEngine>> more_apps;
};

// Guards against a count of crashes that ends with the attempt or that one instance keeps for
// itself, while the caller comes back at any instance.
TEST_CASE("a request that crashes targets reaches only a few of them", "[crash]") {
  CrashFixture fixture(3);
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    const auto answer = fixture.SendAgainAndAgain(task, "/lookup/1", seconds(8));
    CheckFewCrashes(fixture.apps);
    // The last one is refused as not run, with a time to come back.
    REQUIRE(answer);
    CHECK(answer->Status() == 503);
    CHECK(!answer->Headers().Find("Retry-After").empty());
    // Others are served meanwhile.
    const auto other = fixture.Send(task, fixture.instances.front()->FrontAddress(), "POST",
                                    "/lookup/1", "other", "another body", "1500");
    REQUIRE(other);
    CHECK(other->Status() == 200);
  });
}

// Guards against streams, which are sent to other targets by other code, that crash one after the
// other.
TEST_CASE("a stream that crashes targets reaches only a few of them", "[crash]") {
  CrashFixture fixture(2);
  Targets engines;
  for (const char* id : {"i-e1", "i-e2", "i-e3", "i-e4"}) {
    engines.push_back(&fixture.AddEngine(id));
    fixture.Register(*engines.back(), "model");
  }
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.SendAgainAndAgain(task, "/draft/1", seconds(8));
    CheckFewCrashes(engines);
  });
}

// Guards against a count that ends with the instances that keep it.
TEST_CASE("a request that crashed targets is refused after all instances were killed", "[crash]") {
  soak::SiteOptions options;
  options.instances = 3;
  options.apps = 6;
  options.link_targets = false;
  testing::ProcessSite processes(options);
  testing::RunTask(processes.runtime, [&](Task& task) {
    REQUIRE(processes.site.Start());
    processes.AwaitServing(task);
    Targets apps;
    for (auto& app : processes.site.Apps()) {
      app->crashing_bodies = {kCrashing};
      apps.push_back(app.get());
    }
    const std::vector<std::string> addresses = processes.Addresses();
    const auto send = [&](int count) {
      for (int i = 0; i < count; ++i) {
        processes.Send(task, addresses[static_cast<std::size_t>(i) % addresses.size()], "/lookup/1",
                       "c" + std::to_string(i), kCrashing);
        SleepUntil(task, SteadyNow() + milliseconds(100));
      }
    };
    for (int round = 0; round < 3; ++round) {
      send(20);
      processes.KillAllInstances(task);
    }
    send(20);
    CheckFewCrashes(apps);
  });
}

// Guards against a refusal of requests under which targets crashed for another reason.
TEST_CASE("a request under which targets crashed for another reason is served", "[crash]") {
  CrashFixture fixture(2);
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.SendAgainAndAgain(task, "/lookup/1", milliseconds(1500));
    REQUIRE(CrashTimes(fixture.apps).size() >= kCrashes);
    for (PlatformEngine* target : fixture.apps) target->crashing_bodies.clear();
    const auto answer = fixture.SendAgainAndAgain(task, "/lookup/1", seconds(7));
    REQUIRE(answer);
    CHECK(answer->Status() == 200);
  });
}

// Guards against connections that are only reset and count as crashes.
TEST_CASE("a request whose connections were reset often is served", "[crash]") {
  CrashFixture fixture(2);
  Targets engines;
  for (const char* id : {"i-e1", "i-e2", "i-e3", "i-e4"}) {
    engines.push_back(&fixture.AddEngine(id));
    fixture.Register(*engines.back(), "model");
    engines.back()->crashing_bodies.clear();
  }
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    for (int i = 0; i < 4; ++i) {
      for (PlatformEngine* target : engines) target->break_after_events = 1;
      fixture.SendAgainAndAgain(task, "/dictation/1", milliseconds(100));
    }
    for (PlatformEngine* target : engines) target->break_after_events = 0;
    const auto answer = fixture.SendAgainAndAgain(task, "/dictation/1", milliseconds(1));
    REQUIRE(answer);
    CHECK(answer->Status() == 200);
  });
}

// Guards against scoring calls that are refused although their items are owed.
TEST_CASE("the scoring call of an item is not refused because targets crashed under it",
          "[crash]") {
  CrashFixture fixture(1);
  fixture.AddEngine("i-e1");
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    const std::string address = fixture.instances.front()->FrontAddress();
    REQUIRE(
        fixture.Send(task, address, "POST", "/rollout/a", "warm", PlatformFixture::Step("w", 1)));
    fixture.AwaitResults(task, address, "warm", 2);
    // Each call crashes its target until many have.
    for (PlatformEngine* target : fixture.apps) {
      target->crashing_bodies = {"judge x0", "judge x1"};
    }
    REQUIRE(
        fixture.Send(task, address, "POST", "/rollout/a", "job1", PlatformFixture::Step("x", 1)));
    fixture.Await(task, "targets have crashed",
                  [&] { return CrashTimes(fixture.apps).size() >= 8; });
    for (PlatformEngine* target : fixture.apps) target->crashing_bodies.clear();
    const auto page = fixture.AwaitResults(task, address, "job1", 2);
    for (const auto& result : page["Results"]) CHECK(result["State"] == "completed");
  });
}

}  // namespace
}  // namespace anvilcroft
