// Tests instances that are cut off from all targets while callers, the store and the other
// instances reach them.

#include <algorithm>
#include <catch2/catch.hpp>

#include "testing/cut_fixture.h"

namespace anvilcroft {
namespace {

using fakes::FakeLink;

// The platform's rule: from kContact after the cut began, first tries at instances that are cut off
// are served at least this share as often as those at the others.
constexpr Duration kContact = milliseconds(3000);
constexpr double kMinShare = 2.0 / 3;

// Cuts three of five instances off while callers send requests to `path`, in each way in which
// connections may fail.
void CheckServed(const std::string& path) {
  const auto mode =
      GENERATE(FakeLink::Mode::kUnreachable, FakeLink::Mode::kRefuse, FakeLink::Mode::kRefuseNew);
  CAPTURE(static_cast<int>(mode));
  CutFixture fixture(5, 3, 3);
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    fixture.ServedShare(task, path, 1, 5, milliseconds(600), "1500");
    fixture.SetLinks(1, 3, mode);
    CHECK(fixture.ServedShare(task, path, 1, 3, kContact, "1500") > 0);
    CHECK(fixture.ServedShare(task, path, 1, 3, seconds(3), "1500") >= kMinShare);
    fixture.SetLinks(1, 3, FakeLink::Mode::kUp);
    fixture.ServedShare(task, path, 1, 3, milliseconds(500), "1500");
    CHECK(fixture.ServedShare(task, path, 1, 3, seconds(1), "1500") == 1);
  });
}

// Guard against instances that serve nothing, or hold requests until their deadline, while they are
// cut off from all targets.
TEST_CASE("an instance that is cut off from all targets serves its callers", "[cutoff]") {
  CheckServed("/lookup/1");
}

TEST_CASE("an instance that is cut off serves requests that may run once only", "[cutoff]") {
  CheckServed("/slip/1");
}

TEST_CASE("an instance that is cut off serves streams", "[cutoff]") { CheckServed("/draft/1"); }

// Guards against an owner that keeps the batch jobs while it can neither run their items nor order
// engines.
TEST_CASE("an owner that is cut off from all targets hands over the batch jobs", "[cutoff]") {
  const auto mode =
      GENERATE(FakeLink::Mode::kUnreachable, FakeLink::Mode::kRefuse, FakeLink::Mode::kRefuseNew);
  CAPTURE(static_cast<int>(mode));
  CutFixture fixture(3, 2, 3);
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    const auto owner = [&] {
      int owner = 0;
      for (std::size_t i = 0; i < fixture.instances.size(); ++i) {
        if (fixture.instances[i]->OwnsBatchJobs()) owner = static_cast<int>(i) + 1;
      }
      return owner;
    };
    fixture.Await(task, "an instance owns the batch jobs", [&] { return owner() != 0; });
    const int first = owner();
    const std::string address = fixture.instances[0]->FrontAddress();
    REQUIRE(
        fixture.Send(task, address, "POST", "/rollout/a", "job1", PlatformFixture::Step("x", 2)));
    fixture.AwaitResults(task, address, "job1", 4);
    fixture.SetLinks(first, first, mode);
    REQUIRE(
        fixture.Send(task, address, "POST", "/rollout/a", "job2", PlatformFixture::Step("y", 6)));
    fixture.store.Put("op", "version/m", R"({"Model":"m","Version":2})");
    CHECK(testing::WaitUntil(
        task, [&] { return owner() != 0 && owner() != first; }, seconds(6)));
    fixture.AwaitResults(task, address, "job2", 12);
    CHECK(testing::WaitUntil(
        task,
        [&] {
          return std::all_of(fixture.engines.begin(), fixture.engines.end(),
                             [](const auto& engine) { return engine->version == 2; });
        },
        seconds(10)));
    fixture.SetLinks(first, first, FakeLink::Mode::kUp);
  });
}

}  // namespace
}  // namespace anvilcroft
