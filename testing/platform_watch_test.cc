// Tests the instance that watches the others for those that are lost.

#include <catch2/catch.hpp>

#include "anvilcroft/front_record.h"
#include "fakes/fake_link.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// Guards against an instance that reads the unchanged row of a lost watcher again, takes that for a
// sign of life and so leaves the lost instance in the answers to callers.
TEST_CASE("a lost watcher leaves the directory while the store loses its history", "[platform]") {
  PlatformFixture fixture;
  std::vector<std::unique_ptr<fakes::FakeLink>> links;
  for (const char* id : {"one", "two"}) {
    links.push_back(fakes::FakeLink::Builder(fixture.runtime)
                        .SetTarget(*ParseEndpoint(fixture.store_address))
                        .Build());
    fixture.AddInstance(id, *links.back()->Start());
  }
  fixture.Run([&](Task& task) {
    fixture.AwaitAllReady(task);
    std::string watcher;
    fixture.Await(task, "an instance watches the others", [&] {
      const auto watch = DecodeWatch(fixture.store.Value({"front-entries", "", "!watch"}));
      if (watch) watcher = watch->watcher;
      return !watcher.empty();
    });
    const std::size_t lost = watcher == "one" ? 0 : 1;
    links[lost]->SetMode(fakes::FakeLink::Mode::kCut);
    fixture.Await(task, "the watcher is left out", [&] {
      fixture.store.DropHistory();
      SleepUntil(task, SteadyNow() + milliseconds(400));
      const auto answer = fixture.Send(task, fixture.instances[1 - lost]->DirectoryAddress(), "GET",
                                       "/api/lookup?Name=h.example&Zone=a", "lookup");
      return answer && answer->Status() == 200 &&
             json::parse(answer->Body())["Addresses"].size() == 1;
    });
  });
}

}  // namespace
}  // namespace anvilcroft
