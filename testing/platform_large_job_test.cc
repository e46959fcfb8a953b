// Tests batch jobs whose items and texts take many calls to the store.

#include <catch2/catch.hpp>

#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// Guards against a job that no owner ever loads, and whose bodies nobody can read, because its
// items together take longer than one call to the store may (review/4).
TEST_CASE("a job whose items take longer to read than one call may is run", "[large_job]") {
  constexpr int kItems = 160;
  constexpr std::size_t kBodyBytes = 31'000;
  PlatformFixture fixture;
  fixture.AddEngine("i-1").event_time = milliseconds(1);
  FrontInstance& one = fixture.AddInstance("one");
  FrontInstance& two = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.AwaitReady(task, two);
    json body = json::parse(PlatformFixture::Step("x", kItems / 2));
    // base64 without padding
    const std::string prompt(kBodyBytes / 3 * 4, 'b');
    for (json& item : body["Items"]) item["Body"] = prompt;
    fakes::FaultPlan plan;
    plan.mode = fakes::FaultPlan::Mode::kSlow;
    plan.delay_ms = 90;
    fixture.store.Server().SetFaults(plan);
    const auto accepted =
        fixture.Send(task, two.FrontAddress(), "POST", "/rollout/s", "job1", body.dump());
    REQUIRE(accepted);
    REQUIRE(accepted->Status() == 202);
    const auto read = fixture.Send(task, two.FrontAddress(), "GET", "/api/items/job1?Id=x159", "b");
    REQUIRE(read);
    CHECK(read->Status() == 200);
    CHECK(read->Body().size() == kBodyBytes / 3 * 3);
    std::set<std::string> listed;
    fixture.Await(task, "all items are listed", [&] {
      const auto page = fixture.Send(task, one.FrontAddress(), "GET",
                                     "/api/lots/job1?After=" + std::to_string(listed.size()), "r");
      if (!page || page->Status() != 200) return false;
      const json results = json::parse(page->Body());
      for (const json& result : results["Results"]) {
        CHECK(result["State"] == "completed");
        listed.insert(result["Id"].get<std::string>());
      }
      return listed.size() == kItems;
    });
  });
}

}  // namespace
}  // namespace anvilcroft
