// Tests what callers get when a target breaks off its answer in the head, or answers the rest of a
// stream with an error.

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "platform/store_client.h"
#include "testing/platform_fixture.h"
#include "testing/raw_listener.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Socket = testing::RawListener::Socket;

// A target of the services "app" and "model" that answers with given bytes and closes the
// connection.
class BrokenTarget {
 public:
  explicit BrokenTarget(PlatformFixture& fixture)
      : listener(fixture.runtime,
                 [this](Task& task, Socket& socket) { this->Answer(task, socket); }) {
    const std::string address = this->listener.Address().ToString();
    fixture.store.Remove("servers", "i-app");
    for (const char* service : {"app", "model"}) {
      const std::string id = std::string("i-broken-") + service;
      fixture.store.Put("servers", id,
                        nlohmann::json({{"Service", service},
                                        {"Address", address},
                                        {"Zone", "a"},
                                        {"Version", "v1"},
                                        {"Slots", 4},
                                        {"State", "ready"},
                                        {"Sequence", 1},
                                        {"ColdRemainingMs", 0},
                                        {"born", 1000}})
                            .dump());
    }
  }

  // The bytes that answer the next requests; the last ones answer all further requests. "ID" stands
  // for the id of the request.
  std::vector<std::string> answers;
  bool reset = false;  // reset the connection instead of closing it
  int requests = 0;

 private:
  void Answer(Task& task, Socket& socket) {
    std::string head;
    error_code failed;
    asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", task.yield[failed]);
    if (failed) return;
    std::string bytes = this->answers.front();
    if (this->answers.size() > 1) this->answers.erase(this->answers.begin());
    ++this->requests;
    const std::string field = "X-Attempt-Id: ";
    const std::size_t at = head.find(field) + field.size();
    const std::size_t id = bytes.find("ID\r\n");
    if (id != std::string::npos) {
      bytes.replace(id, 2, head.substr(at, head.find("\r\n", at) - at));
    }
    asio::async_write(socket, asio::buffer(bytes), task.yield[failed]);
    if (this->reset) socket.set_option(asio::socket_base::linger(true, 0), failed);
    socket.close(failed);
  }

  testing::RawListener listener;
};

// What a caller receives.
struct Received {
  int status = 0;  // 0: no answer
  std::string body;
  bool complete = false;
};

Received Read(Task& task, PlatformFixture& fixture, const std::string& address,
              const std::string& path, const std::string& id) {
  Received received;
  const auto stream = fixture.http.OpenStream(
      task, *ParseEndpoint(address), fakes::CallerRequest("POST", path, id, "b", "3000"),
      CallOptions(SteadyNow() + seconds(10)).WithFreshConnection());
  if (!stream) return received;
  received.status = (*stream)->Status();
  while (true) {
    const auto piece = (*stream)->Read(task);
    if (!piece) return received;
    if (!*piece) break;
    received.body += **piece;
  }
  received.complete = true;
  return received;
}

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s.1\r\n";

// Guards against a caller who gets 200 with an empty or short body because the target stopped in
// its head, whether that would have told the length of the body or not.
TEST_CASE("an answer that breaks off in its head is no success", "[broken]") {
  const bool reset = GENERATE(false, true);
  const std::string path = GENERATE("/lookup/1", "/draft/1");
  const std::string framing = GENERATE("Content-Length: 17\r\n", "Transfer-Encoding: chunked\r\n",
                                       "Content-Type: text/event-stream\r\n");
  CAPTURE(reset, path, framing);
  PlatformFixture fixture;
  BrokenTarget target(fixture);
  target.reset = reset;
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const std::string head = kHead + framing + "\r\n";
    for (std::size_t length = 0; length < head.size(); length += 5) {
      CAPTURE(length);
      target.answers = {head.substr(0, length)};
      const Received received =
          Read(task, fixture, instance.FrontAddress(), path, "r" + std::to_string(length));
      CHECK_FALSE((received.status == 200 && received.complete));
    }
  });
}

// Guards against the text of an error, or its head, in the middle of a stream, and against a stream
// that ends as if it were complete when its rest is answered with an error.
TEST_CASE("an error that answers the rest of a stream does not reach its caller", "[broken]") {
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const std::string begin =
      std::string(kHead) + "Content-Type: text/event-stream\r\n\r\n" + events + "id: 3\nda";
  const std::string text = "the engine failed";
  const std::string length = "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n";
  const std::string id = "X-Attempt-Id: ID\r\n";
  const std::string rest = GENERATE_COPY(
      "HTTP/1.1 500 Internal Server Error\r\n" + id + "X-Server-Stamp: s.2\r\n" + length + text,
      "HTTP/1.1 502 Bad Gateway\r\n" + id + length + text,
      "HTTP/1.1 404 Not Found\r\n" + id + "X-Server-Stamp: s.2\r\n" + length + text,
      "HTTP/1.1 503 Service Unavailable\r\n" + id + "X-Not-Executed: 1\r\n" + length + text,
      // Without the fields or the format of an answer that goes on with the stream.
      "HTTP/1.1 200 OK\r\n" + id + length + text, kHead + length + text,
      std::string(kHead) + "Content-Type: application/json\r\n\r\n" + text,
      kHead + ("Content-Length: 0\r\n\r\n" + std::string()), std::string(kHead) + "\r\n",
      "HTTP/1.1 500 Internal Server Error\r\n" + id, text, std::string());
  CAPTURE(rest);
  PlatformFixture fixture;
  BrokenTarget target(fixture);
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    target.answers = {begin, rest};
    const Received received = Read(task, fixture, instance.FrontAddress(), "/draft/1", "r1");
    CHECK(target.requests >= 2);
    CHECK(received.status == 200);
    CHECK(received.body == events);
    CHECK_FALSE(received.complete);
  });
}

// Guards against an answer of a target in trouble whose status is no status of HTTP, and against
// the body of an interim answer, which reach callers as if they were answers.
TEST_CASE("an answer without a valid status does not reach its caller", "[broken]") {
  const std::string status = GENERATE("000", "001", "099", "600", "999", "103");
  const std::string path = GENERATE("/lookup/1", "/slip/1", "/draft/1", "/dictation/1");
  CAPTURE(status, path);
  PlatformFixture fixture;
  BrokenTarget target(fixture);
  const std::string fields = "X-Attempt-Id: ID\r\nX-Server-Stamp: s.1\r\nContent-Length: 5\r\n\r\n";
  target.answers = {"HTTP/1.1 " + status + " Odd\r\n" + fields + "wrong"};
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    const Received received = Read(task, fixture, instance.FrontAddress(), path, "r1");
    CHECK(target.requests > 0);
    CHECK(received.status >= 500);
    CHECK(received.status <= 599);
    // A 503 promises that the request has not run.
    CHECK(received.status != 503);
    CHECK(received.body.find("wrong") == std::string::npos);
    // A sound target serves the next request, also where this one must not be sent again.
    fixture.store.Put("servers", "i-app", fixture.app.RegistrationEntry("app", "a"));
    fixture.store.Remove("servers", "i-broken-app");
    fixture.Await(task, "a sound target serves", [&] {
      static int number = 0;
      const std::string id = "n" + std::to_string(++number);
      return Read(task, fixture, instance.FrontAddress(), "/lookup/1", id).status == 200;
    });
  });
}

// Guards against items and scores that are taken from answers without a valid status.
TEST_CASE("items and scoring requests are not answered without a valid status", "[broken]") {
  const std::string status = GENERATE("000", "099", "600");
  CAPTURE(status);
  PlatformFixture fixture;
  BrokenTarget target(fixture);
  target.answers = {"HTTP/1.1 " + status +
                    " Odd\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: wrong\r\n"
                    "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
                    "Content-Length: 19\r\n\r\nid: 1\ndata: wrong\n\n"};
  fixture.store.Put("servers", "i-app", fixture.app.RegistrationEntry("app", "a"));
  nlohmann::json entry =
      nlohmann::json::parse(fixture.store.Value({"servers", "", "i-broken-model"}));
  entry["Models"] = {{{"Name", "m"}, {"Version", 1}}};
  fixture.store.Put("servers", "i-broken-model", entry.dump());
  fixture.AddEngine("i-sound");
  FrontInstance& instance = fixture.AddInstance("one");
  fixture.Run([&](Task& task) {
    fixture.AwaitReady(task, instance);
    REQUIRE(fixture.Send(task, instance.FrontAddress(), "POST", "/rollout/1", "job",
                         PlatformFixture::Step("x", 4)));
    const auto page = fixture.AwaitResults(task, instance.FrontAddress(), "job", 8);
    CHECK(target.requests > 0);
    for (const auto& result : page["Results"]) {
      CHECK(result["State"] == "completed");
      CHECK(result.value("Text", "") == fakes::PlatformEngine::TextOf(result["Id"], 6));
      CHECK(result.value("Score", "").find("wrong") == std::string::npos);
    }
  });
}

// Guards against a write that is taken for refused, and sent again without its conditions, because
// the store's answer has no valid status.
TEST_CASE("a call to the store that is not answered with a valid status is unknown", "[broken]") {
  Runtime runtime;
  testing::RawListener listener(runtime, [](Task& task, Socket& socket) {
    std::string head;
    error_code failed;
    asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", task.yield[failed]);
    const std::string answer = "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}";
    asio::async_write(socket, asio::buffer(answer), task.yield[failed]);
  });
  platform::StoreClient store(runtime, listener.Address(), nullptr);
  testing::RunTask(runtime, [&](Task& task) {
    const RowId id{"t", "p", "k"};
    const auto written = store.Commit(task, RowBatch::Builder().Expect(id, 0).Put(id, "v").Build(),
                                      SteadyNow() + seconds(1));
    REQUIRE_FALSE(written);
    CHECK(written.error().code == ErrorCode::kOutcomeUnknown);
    const auto read = store.Read(task, RowRange(), SteadyNow() + seconds(1));
    REQUIRE_FALSE(read);
    CHECK(read.error().code == ErrorCode::kBadResponse);
  });
  runtime.EndTasks();
}

}  // namespace
}  // namespace anvilcroft
