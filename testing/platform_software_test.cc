// Tests that the text of a stream or of an item comes from one version of the engines' software,
// because the outputs of two versions do not fit together and engines do not check it.

#include <catch2/catch.hpp>
#include <set>

#include "anvilcroft/front_directory.h"
#include "anvilcroft/sse_parser.h"
#include "anvilcroft/stream_origin.h"
#include "fakes/fake_link.h"
#include "testing/platform_fixture.h"
#include "testing/process_site.h"

namespace anvilcroft {
namespace {

using fakes::FakeLink;
using fakes::PlatformEngine;

// The platform's rules: at most this many streams hold events of two software versions, and of the
// streams that are taken up while their version still serves, at least this share goes on.
constexpr int kMaxJoined = 2;
constexpr double kMinTakenUp = 0.5;

soak::SiteOptions ProcessSiteOptions() {
  soak::SiteOptions options;
  options.instances = 3;
  options.engines = 6;
  return options;
}

// The software version of an event of PlatformEngine::Events().
std::string SoftwareOf(const std::string& event) {
  const std::size_t at = event.find('@');
  return at == std::string::npos ? PlatformEngine::kSoftware : event.substr(at + 1);
}

// The software versions that generated a text of events.
std::set<std::string> SoftwareOfText(const std::string& text) {
  std::set<std::string> versions;
  for (std::size_t begin = 0; begin <= text.size();) {
    const std::size_t end = std::min(text.find('\n', begin), text.size());
    versions.insert(SoftwareOf(text.substr(begin, end - begin)));
    begin = end + 1;
  }
  return versions;
}

// A stream as its caller sees it, over several attempts.
struct CallerStream {
  std::string name;
  bool names_attempt = true;  // whether the caller names the attempt that began the stream
  int attempts = 0;
  int status = 0;             // of the last attempt; 0: no response
  std::string first_attempt;  // the one that brought the first event
  int last_event = 0;
  std::set<std::string> software;  // of all events
  bool complete = false;
};

// Reads the stream from `address` until it ends, breaks off or has `max_events` events in all, and
// takes it up after its last event if it has any.
void ReadStream(Task& task, HttpClient& http, const std::string& address, CallerStream& stream,
                int max_events = INT32_MAX) {
  const std::string attempt = stream.name + "." + std::to_string(++stream.attempts);
  HttpHeaders headers =
      HttpHeaders({{"Host", "h.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "20000"}});
  if (stream.last_event > 0) {
    headers = headers.With("Last-Event-Id", std::to_string(stream.last_event));
    if (stream.names_attempt) headers = headers.With("Resumes", stream.first_attempt);
  }
  stream.status = 0;
  const auto opened = http.OpenStream(task, *ParseEndpoint(address),
                                      HttpRequest::Builder()
                                          .SetMethod("POST")
                                          .SetTarget("/draft/1")
                                          .SetHeaders(headers)
                                          .SetBody("prompt")
                                          .Build(),
                                      CallOptions(SteadyNow() + seconds(20)).WithFreshConnection());
  if (!opened) return;
  stream.status = (*opened)->Status();
  if (stream.status != 200) return;
  SseParser parser;
  while (stream.last_event < max_events) {
    const auto piece = (*opened)->Read(task);
    if (!piece) return;
    if (!*piece) {
      stream.complete = parser.AtBoundary();
      return;
    }
    const auto events = parser.Feed(**piece);
    if (!events) return;
    for (const SseEvent& event : *events) {
      if (stream.last_event >= max_events) break;
      if (stream.first_attempt.empty()) stream.first_attempt = attempt;
      ++stream.last_event;
      stream.software.insert(SoftwareOf(event.data));
    }
  }
}

// Starts `count` streams at once and returns when each has `events` events.
std::vector<CallerStream> BeginStreams(Task& task, Runtime& runtime, HttpClient& http,
                                       const std::vector<std::string>& addresses, int count,
                                       int events) {
  std::vector<CallerStream> streams(static_cast<std::size_t>(count));
  int open = count;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    streams[i].name = "s" + std::to_string(i);
    runtime.Spawn([&, i](Task& caller) {
      ReadStream(caller, http, addresses[i % addresses.size()], streams[i], events);
      --open;
    });
  }
  REQUIRE(testing::WaitUntil(
      task, [&] { return open == 0; }, seconds(30)));
  return streams;
}

// Takes all streams up at once, each at another instance than before, and again after a refusal.
void TakeUpStreams(Task& task, Runtime& runtime, HttpClient& http,
                   const std::vector<std::string>& addresses, std::vector<CallerStream>& streams) {
  std::size_t open = streams.size();
  for (std::size_t i = 0; i < streams.size(); ++i) {
    runtime.Spawn([&, i](Task& caller) {
      for (int attempt = 0; attempt < 4 && !streams[i].complete; ++attempt) {
        ReadStream(caller, http, addresses[(i + 1) % addresses.size()], streams[i]);
        if (!streams[i].complete) SleepUntil(caller, SteadyNow() + milliseconds(300));
      }
      --open;
    });
  }
  REQUIRE(testing::WaitUntil(
      task, [&] { return open == 0; }, seconds(60)));
}

int CountJoined(const std::vector<CallerStream>& streams) {
  return static_cast<int>(std::count_if(
      streams.begin(), streams.end(), [](const CallerStream& s) { return s.software.size() > 1; }));
}

int CountComplete(const std::vector<CallerStream>& streams) {
  return static_cast<int>(std::count_if(streams.begin(), streams.end(),
                                        [](const CallerStream& s) { return s.complete; }));
}

// An in-process platform with two engines of each of two software versions.
class MixedFixture : public PlatformFixture {
 public:
  MixedFixture() {
    for (const char* id : {"i-a1", "i-a2"}) this->AddEngine(id);
    for (const char* id : {"i-b1", "i-b2"}) {
      PlatformEngine& engine = this->AddEngine(id);
      engine.software = "v2";
      this->store.Put("servers", id, engine.RegistrationEntry("model", "a"));
    }
  }

  std::vector<std::string> Addresses() const {
    std::vector<std::string> addresses;
    for (const auto& instance : this->instances) addresses.push_back(instance->FrontAddress());
    return addresses;
  }
};

// Guards against a stream that goes on at an engine of another software version after its engine
// has broken off, within the same response.
TEST_CASE("a broken stream does not go on at another software version", "[software]") {
  MixedFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    std::vector<CallerStream> streams(24);
    for (std::size_t i = 0; i < streams.size(); ++i) {
      streams[i].name = "s" + std::to_string(i);
      for (auto& engine : fixture.engines) engine->break_after_events = 2;
      ReadStream(task, fixture.http, instance.FrontAddress(), streams[i]);
    }
    CHECK(CountJoined(streams) <= kMaxJoined);
    CHECK(CountComplete(streams) >= 18);
  });
}

// Guards against a stream that its caller takes up at another instance and that goes on at an
// engine of another software version.
TEST_CASE("a stream is taken up at another instance on its own software version", "[software]") {
  MixedFixture fixture;
  FrontInstance& one = fixture.AddInstance("one");
  FrontInstance& two = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.AwaitReady(task, two);
    for (auto& engine : fixture.engines) engine->event_time = milliseconds(20);
    auto streams = BeginStreams(task, fixture.runtime, fixture.http, fixture.Addresses(), 16, 2);
    for (const CallerStream& stream : streams) REQUIRE(stream.last_event == 2);
    TakeUpStreams(task, fixture.runtime, fixture.http, fixture.Addresses(), streams);
    CHECK(CountJoined(streams) <= kMaxJoined);
    CHECK(CountComplete(streams) >= static_cast<int>(kMinTakenUp * 16));
  });
}

// Guards against a stream of one service of a split route that is taken for one of the other and
// goes on at its software version.
TEST_CASE("a stream on a split route is taken up on its own software version", "[software]") {
  MixedFixture fixture;
  for (const auto& engine : fixture.engines) {
    const bool other = engine->software == "v2";
    fixture.store.Put("servers", engine->Id(),
                      engine->RegistrationEntry(other ? "other" : "model", "a"));
  }
  nlohmann::json config = PlatformFixture::Configuration(4);
  for (nlohmann::json& route : config["Routes"]) {
    if (route["Name"] != "draft") continue;
    route.erase("Service");
    route["TrafficSplit"] = {{{"Service", "other"}, {"Weight", 50}},
                             {{"Service", "model"}, {"Weight", 50}}};
  }
  fixture.store.Put("op", "config", config.dump());
  FrontInstance& one = fixture.AddInstance("one");
  FrontInstance& two = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.AwaitReady(task, two);
    SleepUntil(task, SteadyNow() + seconds(5));  // both default versions are known everywhere
    for (auto& engine : fixture.engines) engine->event_time = milliseconds(20);
    auto streams = BeginStreams(task, fixture.runtime, fixture.http, fixture.Addresses(), 16, 2);
    for (const CallerStream& stream : streams) REQUIRE(stream.last_event == 2);
    TakeUpStreams(task, fixture.runtime, fixture.http, fixture.Addresses(), streams);
    CHECK(CountJoined(streams) == 0);
    CHECK(CountComplete(streams) >= static_cast<int>(kMinTakenUp * 16));
  });
}

// Guards against a caller that does not name the attempt which began its stream and is refused
// while one version serves, or goes on at either version while two do.
TEST_CASE("a stream is taken up without its first attempt while one version serves", "[software]") {
  MixedFixture fixture;
  for (const char* id : {"i-b1", "i-b2"}) fixture.store.Remove("servers", id);
  FrontInstance& one = fixture.AddInstance("one");
  FrontInstance& two = fixture.AddInstance("two");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.AwaitReady(task, two);
    SleepUntil(task, SteadyNow() + seconds(1));  // the default version is written
    const auto take_up = [&] {
      auto streams = BeginStreams(task, fixture.runtime, fixture.http, fixture.Addresses(), 8, 2);
      for (CallerStream& stream : streams) stream.names_attempt = false;
      TakeUpStreams(task, fixture.runtime, fixture.http, fixture.Addresses(), streams);
      CHECK(CountJoined(streams) == 0);
      return CountComplete(streams);
    };
    CHECK(take_up() == 8);
    for (std::size_t i = 2; i < 4; ++i) {
      fixture.store.Put("servers", fixture.engines[i]->Id(),
                        fixture.engines[i]->RegistrationEntry("model", "a"));
    }
    SleepUntil(task, SteadyNow() + seconds(1));
    CHECK(take_up() == 0);
  });
}

// Guards against an instance that is cut off from the store while engines of another version join,
// and continues their streams at an engine of the only version that it knows.
TEST_CASE("an instance that has missed a release does not continue its streams elsewhere",
          "[software]") {
  const bool names_attempt = GENERATE(false, true);
  CAPTURE(names_attempt);
  PlatformFixture fixture;
  for (const char* id : {"i-a1", "i-a2"}) fixture.AddEngine(id);
  FrontInstance& one = fixture.AddInstance("one");
  auto link =
      FakeLink::Builder(fixture.runtime).SetTarget(*ParseEndpoint(fixture.store_address)).Build();
  FrontInstance& two = fixture.AddInstance("two", *link->Start());
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, one);
    fixture.AwaitReady(task, two);
    // An instance that has run for less than kMaxStreamTime knows that it may have missed a
    // version.
    SleepUntil(task, SteadyNow() + (names_attempt ? kMaxStreamTime : Duration()) + seconds(2));
    link->SetMode(FakeLink::Mode::kCut);
    for (const char* id : {"i-b1", "i-b2"}) {
      PlatformEngine& engine = fixture.AddEngine(id);
      engine.software = "v2";
      fixture.store.Put("servers", id, engine.RegistrationEntry("model", "a"));
    }
    for (auto& engine : fixture.engines) engine->event_time = milliseconds(20);
    SleepUntil(task, SteadyNow() + milliseconds(200));  // the first instance has read the entries
    auto streams = BeginStreams(task, fixture.runtime, fixture.http, {one.FrontAddress()}, 16, 2);
    std::set<std::string> begun;
    for (CallerStream& stream : streams) {
      REQUIRE(stream.last_event == 2);
      begun.insert(*stream.software.begin());
      stream.names_attempt = names_attempt;
    }
    REQUIRE(begun.count("v2") == 1);
    TakeUpStreams(task, fixture.runtime, fixture.http, {two.FrontAddress()}, streams);
    CHECK(CountJoined(streams) == 0);
    link->SetMode(FakeLink::Mode::kUp);
    SleepUntil(task, SteadyNow() + seconds(2));
    TakeUpStreams(task, fixture.runtime, fixture.http, {two.FrontAddress()}, streams);
    CHECK(CountJoined(streams) == 0);
    if (names_attempt) CHECK(CountComplete(streams) == 16);
  });
}

// Guards against an instance that takes a default version for the current one because it has not
// read the row since another instance wrote it.
TEST_CASE("the default version that began a stream is the one in the store", "[software]") {
  PlatformFixture fixture;
  for (const char* id : {"i-a1", "i-b1"}) fixture.AddEngine(id);
  fixture.engines[1]->software = "v2";
  fixture.store.Put("servers", "i-b1", fixture.engines[1]->RegistrationEntry("model", "a"));
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const RowId row = FrontDirectory::SharedRowId("!software/", "model");
    fixture.Await(task, "the default version is written",
                  [&] { return !fixture.store.Value(row).empty(); });
    SleepUntil(task, SteadyNow() + milliseconds(200));
    // The feed of the entries does not bring the change.
    fixture.store.Server().SetFaultFilter(
        [](const HttpRequest& request) { return request.Path() == "/api/rows-feed"; });
    fakes::FaultPlan silent;
    silent.mode = fakes::FaultPlan::Mode::kSilent;
    fixture.store.Server().SetFaults(silent);
    fixture.store.Put(row.table, "!ends/the-feed-that-waits", "");
    SleepUntil(task, SteadyNow() + milliseconds(200));
    const std::string before = DecodeDefaultSoftware(fixture.store.Value(row))->software;
    const std::string now = before == "v1" ? "v2" : "v1";
    fixture.store.Put(row.table, row.key, EncodeDefaultSoftware({now, 0}));
    for (int i = 0; i < 8; ++i) {
      CallerStream stream;
      stream.name = "unrecorded" + std::to_string(i);
      stream.first_attempt = stream.name + ".0";
      stream.last_event = 2;
      stream.software.insert(now);
      ReadStream(task, fixture.http, instance.FrontAddress(), stream);
      CHECK(stream.status == 200);
      CHECK(stream.software.size() == 1);
    }
  });
}

// Guards against items whose text is continued by another software version after a broken run.
TEST_CASE("the text of an item comes from one software version", "[software]") {
  MixedFixture fixture;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    fixture.runtime.Spawn([&](Task& other) {
      while (true) {
        for (auto& engine : fixture.engines) engine->break_after_events = 3;
        SleepUntil(other, SteadyNow() + milliseconds(15));
      }
    });
    REQUIRE(fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/a", "job1",
                         PlatformFixture::Step("x", 20)));
    const auto page = fixture.AwaitResults(task, instance.FrontAddress(), "job1", 40);
    int joined = 0;
    for (const auto& result : page["Results"]) {
      CHECK(result["State"] == "completed");
      if (SoftwareOfText(result["Text"]).size() > 1) ++joined;
    }
    CHECK(joined == 0);
  });
}

// Guards against streams whose software version nobody knows any more, because all instances were
// killed between the break and the take-up.
TEST_CASE("streams keep their software version when all instances are killed", "[software]") {
  testing::ProcessSite processes(ProcessSiteOptions());
  testing::RunTask(processes.runtime, [&](Task& task) {
    REQUIRE(processes.site.Start());
    for (auto& engine : processes.site.Engines()) engine->event_time = milliseconds(25);
    processes.AwaitServing(task);
    // The second version starts beside the first one, as in a release.
    for (std::size_t i = 3; i < 6; ++i) processes.site.Engines()[i]->Restart("v2");
    SleepUntil(task, SteadyNow() + seconds(1));
    constexpr int kStreams = 24;
    auto streams =
        BeginStreams(task, processes.runtime, processes.http, processes.Addresses(), kStreams, 5);
    std::map<std::string, int> begun;
    for (const CallerStream& stream : streams) {
      REQUIRE(stream.last_event == 5);
      ++begun[*stream.software.begin()];
    }
    CHECK(begun.size() == 2);
    processes.KillAllInstances(task);
    TakeUpStreams(task, processes.runtime, processes.http, processes.Addresses(), streams);
    CHECK(CountJoined(streams) <= kMaxJoined);
    CHECK(CountComplete(streams) >= static_cast<int>(kMinTakenUp * kStreams));
  });
}

// Guards against streams of a version that has left, which are taken up after all instances were
// killed and go on at the new version as if it had begun them.
TEST_CASE("streams of a software version that has left do not go on", "[software]") {
  testing::ProcessSite processes(ProcessSiteOptions());
  testing::RunTask(processes.runtime, [&](Task& task) {
    REQUIRE(processes.site.Start());
    for (auto& engine : processes.site.Engines()) engine->event_time = milliseconds(25);
    processes.AwaitServing(task);
    const auto old_streams_end = [&](const char* next, int expected_versions) {
      auto streams =
          BeginStreams(task, processes.runtime, processes.http, processes.Addresses(), 12, 5);
      for (auto& engine : processes.site.Engines()) engine->Restart(next);
      processes.KillAllInstances(task);
      TakeUpStreams(task, processes.runtime, processes.http, processes.Addresses(), streams);
      CHECK(CountJoined(streams) <= kMaxJoined);
      CHECK(CountComplete(streams) == 0);
      std::set<std::string> versions;
      for (const CallerStream& stream : streams) {
        versions.insert(stream.software.begin(), stream.software.end());
        CHECK((stream.status == 503 || stream.status == 429));
      }
      CHECK(versions.size() == static_cast<std::size_t>(expected_versions));
    };
    old_streams_end("v2", 1);  // of the first version
    old_streams_end("v3", 1);  // of the second one
    auto streams =
        BeginStreams(task, processes.runtime, processes.http, processes.Addresses(), 12, INT32_MAX);
    CHECK(CountComplete(streams) == 12);  // new streams are served
  });
}

}  // namespace
}  // namespace anvilcroft
