// Tests answers without end: what a process keeps of them, how long it reads them, and that the
// work is done elsewhere.

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>

#include "anvilcroft/sse_parser.h"
#include "anvilcroft/sse_splitter.h"
#include "testing/platform_fixture.h"
#include "testing/raw_listener.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Socket = testing::RawListener::Socket;

constexpr std::size_t kMiB = 1 << 20;

// Returns `unit` as often as it takes to fill about 16 KiB.
std::string Fill(const std::string& unit) {
  std::string bytes;
  while (bytes.size() < (16 << 10)) bytes += unit;
  return bytes;
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Events with consecutive ids from `first` on, about 16 KiB.
std::string ValidEvents(int64_t& next) {
  std::string bytes;
  while (bytes.size() < (16 << 10)) {
    bytes += "id: " + std::to_string(next++) + "\ndata: " + std::string(40, 'x') + "\n\n";
  }
  return bytes;
}

// The largest amount of memory that this process has had since Reset(), above that at Reset().
class PeakMemory {
 public:
  PeakMemory() {
    std::ofstream("/proc/self/clear_refs") << "5";  // resets VmHWM
    this->before = Read("VmRSS:");
  }
  std::size_t Growth() const {
    const std::size_t peak = Read("VmHWM:");
    return peak > this->before ? peak - this->before : 0;
  }

 private:
  static std::size_t Read(const std::string& field) {
    std::ifstream status("/proc/self/status");
    std::string word;
    std::size_t kib = 0;
    while (status >> word) {
      if (word == field) status >> kib;
    }
    return kib << 10;
  }

  std::size_t before = 0;
};

// A form of an answer without end.
struct EndlessForm {
  std::string name;
  std::string head;  // "ID" stands for the id of the request
  // What follows the head until the connection is closed.
  std::function<std::string(int64_t& next_event)> next;
};

std::string Head(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s.1\r\n" + fields + "\r\n";
}

// Forms of answers to a generation, with bodies of each of `lines`.
std::vector<EndlessForm> Forms(const std::vector<std::string>& lines) {
  const std::string stream = "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const auto repeat = [](const std::string& bytes) { return [bytes](int64_t&) { return bytes; }; };
  std::vector<EndlessForm> forms;
  for (const std::string& line : lines) {
    std::string name = line;
    if (name.back() == '\n') name.back() = '/';
    forms.push_back(
        {"chunks of " + name, Head("200 OK", stream + chunked), repeat(Chunk(Fill(line)))});
    forms.push_back(
        {"a body without length of " + name, Head("200 OK", stream), repeat(Fill(line))});
  }
  forms.push_back({"valid events", Head("200 OK", stream + chunked),
                   [](int64_t& next) { return Chunk(ValidEvents(next)); }});
  forms.push_back({"the body of an error", Head("500 Internal Server Error", chunked),
                   repeat(Chunk(Fill("e")))});
  forms.push_back({"the body of a refusal",
                   Head("503 Service Unavailable", chunked + "X-Not-Executed: 1\r\n"),
                   repeat(Chunk(Fill("e")))});
  forms.push_back({"a field of the head", "HTTP/1.1 200 OK\r\nX-Long: ", repeat(Fill("h"))});
  forms.push_back({"fields of the head", "HTTP/1.1 200 OK\r\n", repeat(Fill("X-Many: h\r\n"))});
  forms.push_back({"interim answers", "", repeat(Fill("HTTP/1.1 103 Early Hints\r\n\r\n"))});
  forms.push_back(
      {"an extension of a chunk", Head("200 OK", stream + chunked) + "1;", repeat(Fill("x"))});
  forms.push_back(
      {"a trailer", Head("200 OK", stream + chunked) + "0\r\n", repeat(Fill("X-Many: t\r\n"))});
  return forms;
}

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
    std::string head;
    error_code failed;
    asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", task.yield[failed]);
    if (failed) return;
    const std::string field = "X-Attempt-Id: ";
    const std::size_t at = head.find(field);
    if (at == std::string::npos) return;  // a report
    const std::size_t begin = at + field.size();
    std::string bytes = this->form.head;
    const std::size_t id = bytes.find("ID\r\n");
    if (id != std::string::npos) {
      bytes.replace(id, 2, head.substr(begin, head.find("\r\n", begin) - begin));
    }
    ++this->requests;
    int64_t next_event = 1;
    std::size_t written = 0;
    while (!failed) {
      written += asio::async_write(socket, asio::buffer(bytes), task.yield[failed]);
      bytes = this->form.next(next_event);
    }
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
  const auto forms = Forms({"0\n", "x: y\n", ":\n", "id: 1\n", "event: e\n", "data:\n", "data: d\n",
                            "retry: 1\n", "\n", "0"});
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
                        {"a body", Head("200 OK", ""), [](int64_t&) { return Fill("b"); }});
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
  auto forms = Forms({"0\n", ":\n"});
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
