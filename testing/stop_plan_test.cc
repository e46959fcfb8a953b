// Tests planned stops of an instance whose callers go on sending requests.

#include "anvilcroft/stop_plan.h"

#include <catch2/catch.hpp>
#include <csignal>

#include "testing/process_site.h"

namespace anvilcroft {
namespace {

TEST_CASE("a request that outlasts a stopping instance is refused late in the stop", "[stop]") {
  const TimePoint start = TimePoint(seconds(1000));
  const StopPlan plan{start, start + seconds(8)};
  const auto decide = [&](int arrival_s, int limit_s, bool repeatable, bool stream) {
    const TimePoint now = start + seconds(arrival_s);
    return DecideWhileStopping(plan, {now + seconds(limit_s), repeatable, stream}, now);
  };
  // What ends in time is served at any moment.
  CHECK(decide(5, 2, false, false) == StopDecision{true, start + seconds(7)});
  CHECK(decide(5, 2, false, true) == StopDecision{true, start + seconds(7)});
  // Early requests are served, and answered before the end unless they are streams.
  CHECK(decide(1, 20, false, false) == StopDecision{true, start + milliseconds(7800)});
  CHECK(decide(1, 20, true, true) == StopDecision{true, start + seconds(21)});
  // Late ones are refused, unless they may be repeated after a missing answer.
  CHECK_FALSE(decide(4, 20, false, false).serve);
  CHECK_FALSE(decide(4, 20, true, true).serve);
  CHECK(decide(4, 20, true, false) == StopDecision{true, start + milliseconds(7800)});
  CHECK_FALSE(decide(8, 20, true, false).serve);
}

// Guards against requests that come late in the grace period, are passed on and are cut without an
// answer when the process ends.
TEST_CASE("requests late in the grace period are answered", "[stop]") {
  soak::SiteOptions options;
  options.instances = 2;
  options.address_ttl_s = 2;
  testing::ProcessSite processes(options);
  testing::RunTask(processes.runtime, [&](Task& task) {
    REQUIRE(processes.site.Start());
    processes.AwaitServing(task);
    // The routes allow requests that take longer than the grace period.
    auto config = nlohmann::json::parse(processes.site.Store().Value({"op", "", "config"}));
    config["Version"] = 4;
    for (auto& route : config["Routes"]) route["TimeoutMs"] = 20000;
    processes.site.Store().Put("op", "config", config.dump());
    SleepUntil(task, SteadyNow() + seconds(1));
    for (auto& app : processes.site.Apps()) app->event_time = seconds(9);
    for (auto& engine : processes.site.Engines()) {
      engine->events_per_item = 60;
      engine->event_time = milliseconds(150);
    }
    const std::string address = processes.Addresses().front();
    const TimePoint stopped = SteadyNow();
    processes.site.Instances().front().process->Signal(SIGTERM);
    struct Sent {
      std::string id;
      int status = 0;  // 0: the connection was closed without a complete answer
    };
    std::vector<std::unique_ptr<Sent>> sent;
    int open = 0;
    for (const int at_ms : {3500, 4500, 5500}) {
      SleepUntil(task, stopped + milliseconds(at_ms));
      for (const char* route : {"lookup", "slip", "draft"}) {
        sent.push_back(std::make_unique<Sent>());
        Sent& one = *sent.back();
        one.id = std::string(route) + std::to_string(at_ms);
        ++open;
        processes.runtime.Spawn([&, route](Task& caller) {
          const auto answer = processes.http.Call(
              caller, *ParseEndpoint(address),
              fakes::CallerRequest("POST", std::string("/") + route + "/1", one.id, "", "15000"),
              CallOptions(SteadyNow() + seconds(20)).WithFreshConnection());
          if (answer) one.status = answer->Status();
          --open;
        });
      }
    }
    REQUIRE(testing::WaitUntil(
        task, [&] { return open == 0; }, seconds(30)));
    for (const auto& one : sent) {
      CAPTURE(one->id, one->status);
      CHECK(one->status != 0);
      if (one->status == 503) CHECK(processes.site.CountRuns(one->id) == 0);
    }
  });
}

}  // namespace
}  // namespace anvilcroft
