// The client of the platform's API for singleton duties against its fake.

#include "fakes/platform_cloud.h"

#include <catch2/catch.hpp>

#include "platform/cloud_client.h"
#include "testing/run_task.h"

namespace anvilcroft {
namespace {

using fakes::PlatformCloud;
using platform::CloudClient;
using platform::DutyOutcome;

const auto kMaySend = [] { return true; };

struct CloudFixture {
  CloudFixture()
      : cloud(this->runtime), client(this->runtime, *ParseEndpoint(*this->cloud.Start())) {}
  ~CloudFixture() { this->runtime.EndTasks(); }

  Runtime runtime;
  PlatformCloud cloud;
  CloudClient client;
};

// Guards against a fake that accepts what the platform refuses, which would hide faults of the
// duties from their tests.
TEST_CASE_METHOD(CloudFixture, "the fake cloud records calls and checks tokens", "[cloud]") {
  this->cloud.checks_fencing = true;
  testing::RunTask(this->runtime, [&](Task& task) {
    CHECK(this->client.ReportUsage(task, {"one", 7}, {100, {{"c", 2}}}, kMaySend) ==
          DutyOutcome::kAccepted);
    CHECK(this->client.ReportUsage(task, {"two", 6}, {101, {}}, kMaySend) ==
          DutyOutcome::kConflict);
    CHECK(this->client.OrderEngines(task, {"two", 6}, {"s", "a", 3, true}, kMaySend) ==
          DutyOutcome::kAccepted);
    this->cloud.unavailable.insert({"s", "b", false});
    CHECK(this->client.OrderEngines(task, {"one", 7}, {"s", "b", 1, false}, kMaySend) ==
          DutyOutcome::kConflict);
    this->cloud.refuse_next = 1;
    CHECK(this->client.ReportUsage(task, {"one", 7}, {102, {}}, kMaySend) == DutyOutcome::kLimited);
    CHECK(this->client.ReportUsage(task, {"one", 7}, {102, {}}, [] { return false; }) ==
          DutyOutcome::kFailed);
    CHECK(this->client.ReportUsage(task, {"one", 7}, {100, {{"c", 3}}}, kMaySend) ==
          DutyOutcome::kAccepted);
  });
  REQUIRE(this->cloud.Calls().size() == 6);
  CHECK(this->cloud.Calls("/usage").front().holder == "one");
  CHECK(this->cloud.Calls("/usage").front().fencing == 7);
  CHECK(this->cloud.windows.at(100) == PlatformCloud::Counts{{"c", 2}});
  CHECK(this->cloud.windows.size() == 1);
  CHECK(this->cloud.conflicting.size() == 1);
  CHECK(this->cloud.engines.at({"s", "a", true}) == 3);
}

// Guards against taking a call without an answer for one that was not executed.
TEST_CASE_METHOD(CloudFixture, "a call to the fake cloud without an answer is executed later",
                 "[cloud]") {
  this->cloud.Server().Faults().lose_answers = 1;
  this->cloud.Server().Faults().delay_apply_ms = 2500;
  testing::RunTask(this->runtime, [&](Task& task) {
    CHECK(this->client.OrderEngines(task, {"one", 7}, {"s", "a", 3, false}, kMaySend) ==
          DutyOutcome::kUnknown);
    CHECK(this->client.OrderEngines(task, {"one", 7}, {"s", "a", 5, false}, kMaySend) ==
          DutyOutcome::kAccepted);
    CHECK(this->cloud.engines.at({"s", "a", false}) == 5);
    REQUIRE(testing::WaitUntil(task, [&] {
      return this->cloud.engines.at({"s", "a", false}) == 3;
    }));
  });
  CHECK_FALSE(this->cloud.Calls().front().answered);
}

}  // namespace
}  // namespace anvilcroft
