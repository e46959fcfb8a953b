// Tests answers without end: what a process keeps of them, how long it reads them, and that the
// work is done elsewhere.

#include <catch2/catch.hpp>

#include "anvilcroft/sse_parser.h"
#include "anvilcroft/sse_splitter.h"
#include "testing/platform_endless_forms.h"
#include "testing/platform_fixture.h"
#include "testing/raw_listener.h"

namespace anvilcroft {
namespace {

using testing::EndlessForm;
using testing::EndlessForms;
using testing::EndlessHead;
using testing::Fill;
using testing::kMiB;
using testing::PeakMemory;
using Socket = testing::RawListener::Socket;

// A target whose answers have no end.
class EndlessTarget {
 public:
  EndlessTarget(PlatformFixture& fixture, const std::string& service, EndlessForm form)
      : form(std::move(form)), listener(fixture.runtime, [this](Task& task, Socket& socket) {
          this->Answer(task, socket);
        }) {
    const std::string address = this->listener.Address().ToString();
    nlohmann::json entry = {{"Service", service}, {"Address", address}, {"Zone", "a"},
                            {"Version", "v1"},    {"Slots", 4},         {"State", "ready"},
                            {"Sequence", 1},      {"born", 1000},       {"ColdRemainingMs", 0}};
    if (service == "model") entry["Models"] = {{{"Name", "m"}, {"Version", 1}}};
    fixture.store.Put("servers", "i-endless", entry.dump());
  }

  int requests = 0;              // apart from reports and orders
  int closed = 0;                // connections on which the answer was ended by the reader
  std::size_t most_written = 0;  // bytes of one answer

 private:
  void Answer(Task& task, Socket& socket) {
    const auto id = testing::ReadRequestId(task, socket);
    if (!id || id->empty()) return;  // a report
    ++this->requests;
    const std::size_t written = testing::WriteEndless(task, socket, this->form, *id);
    this->most_written = std::max(this->most_written, written);
    ++this->closed;
  }

  EndlessForm form;
  testing::RawListener listener;
};

// Guards against a process that is killed for its memory: lines that are no known field were kept
// until a blank line, and each takes the memory of two strings.
TEST_CASE("an event stream of unknown fields without end is refused", "[endless]") {
  for (const std::string line : {"0\n", "x: y\n", "data: d\n", "id: 1\ndata: 1\nz\n"}) {
    CAPTURE(line);
    const std::string piece = Fill(line);
    SseParser parser;
    SseSplitter splitter;
    const PeakMemory memory;
    bool parsing = true;
    bool splitting = true;
    for (std::size_t fed = 0; fed < 64 * kMiB && (parsing || splitting); fed += piece.size()) {
      if (parsing) parsing = parser.Feed(piece).has_value();
      if (splitting) splitting = splitter.Feed(piece).has_value();
    }
    CHECK_FALSE(parsing);
    CHECK_FALSE(splitting);
    CHECK(memory.Growth() < 16 * kMiB);
  }
}

// Guards against the end of the process that runs the items, and of each successor, and against
// items that wait for an answer that never ends.
TEST_CASE("answers without end to items take little memory and are ended", "[endless]") {
  const auto forms = EndlessForms({"0\n", "x: y\n", ":\n", "id: 1\n", "event: e\n", "data:\n",
                                   "data: d\n", "retry: 1\n", "\n", "0"});
  const auto form = GENERATE_COPY(from_range(forms));
  INFO(form.name);
  PlatformFixture fixture;
  EndlessTarget endless(fixture, "model", form);
  fakes::PlatformEngine& sound = fixture.AddEngine("i-sound");
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const PeakMemory memory;
    const TimePoint started = SteadyNow();
    const auto accepted = fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/1", "job",
                                       PlatformFixture::Step("x", 12));
    REQUIRE(accepted);
    REQUIRE(accepted->Status() == 202);
    const auto page = fixture.AwaitResults(task, instance.FrontAddress(), "job", 24);
    for (const auto& result : page["Results"]) {
      CAPTURE(result.dump());
      // An item may expire after as many answers of 500 as its route allows.
      if (form.name == "the body of an error" && result["State"] == "expired") continue;
      REQUIRE(result["State"] == "completed");
      CHECK(result["Text"] == fakes::PlatformEngine::TextOf(result["Id"], sound.events_per_item));
    }
    CAPTURE(endless.requests, endless.most_written, ToMillis(SteadyNow() - started));
    CHECK(endless.requests > 0);
    CHECK(memory.Growth() < 48 * kMiB);
    fixture.Await(task, "all answers without end are ended",
                  [&] { return endless.closed == endless.requests; });
  });
}

// Guards against scoring requests that keep the bodies of all answers without end.
TEST_CASE("answers without end to scoring requests take little memory", "[endless]") {
  PlatformFixture fixture;
  EndlessTarget endless(fixture, "app",
                        {"a body", EndlessHead("200 OK", ""), [](int64_t&) { return Fill("b"); }});
  fixture.AddEngine("i-sound").events_per_item = 1;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const PeakMemory memory;
    REQUIRE(fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/1", "job",
                         PlatformFixture::Step("x", 12)));
    const auto page = fixture.AwaitResults(task, instance.FrontAddress(), "job", 24);
    for (const auto& result : page["Results"]) CHECK(result["State"] == "completed");
    CAPTURE(endless.requests);
    CHECK(endless.requests > 0);
    CHECK(memory.Growth() < 48 * kMiB);
  });
}

// Guards against an instance whose callers' streams run without end, keep what the target sends, or
// get bytes that are no events.
TEST_CASE("answers without end to streams of callers take little memory", "[endless]") {
  auto forms = EndlessForms({"0\n", ":\n"});
  // Valid events are forwarded as they arrive, for as long as the caller waits.
  forms.erase(std::remove_if(forms.begin(), forms.end(),
                             [](const EndlessForm& form) { return form.name == "valid events"; }),
              forms.end());
  const auto form = GENERATE_COPY(from_range(forms));
  INFO(form.name);
  PlatformFixture fixture;
  EndlessTarget endless(fixture, "model", form);
  fakes::PlatformEngine& sound = fixture.AddEngine("i-sound");
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const PeakMemory memory;
    for (int i = 0; i < 16 && endless.requests == 0; ++i) {
      const std::string id = "s" + std::to_string(i);
      const auto answer =
          fixture.Send(task, instance.FrontAddress(), "POST", "/draft/1", id, "b", "5000");
      // The first event was never sent where the answer was an error.
      if (!answer || answer->Status() != 200) continue;
      SseParser parser;
      const auto events = parser.Feed(answer->Body());
      REQUIRE(events);
      CHECK(events->size() == static_cast<std::size_t>(sound.events_per_item));
    }
    CAPTURE(endless.requests, endless.most_written);
    CHECK(endless.requests > 0);
    CHECK(memory.Growth() < 64 * kMiB);
    fixture.Await(task, "all answers without end are ended",
                  [&] { return endless.closed == endless.requests; });
  });
}

}  // namespace
}  // namespace anvilcroft
