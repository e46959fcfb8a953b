// Tests the HTTP client and the engine client against peers that send other bytes than one response
// to each request: duplicates, truncated responses, bytes without end, and streams that stall.

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "anvilcroft/http_client.h"
#include "anvilcroft/runtime_impl.h"
#include "platform/engine_client.h"
#include "platform/headers.h"
#include "testing/raw_listener.h"
#include "testing/run_task.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using testing::RunTask;
using Socket = testing::RawListener::Socket;

// Accepts connections and runs a script on each.
class ScriptedPeer {
 public:
  using Script = testing::RawListener::Script;

  explicit ScriptedPeer(Script script) : listener(this->runtime, std::move(script)) {}
  ~ScriptedPeer() { this->runtime.EndTasks(); }

  // Reads one request without a body. Returns its target, or "" at the end of the connection.
  static std::string ReadRequest(Task& task, Socket& socket) {
    std::string text;
    error_code failed;
    asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", task.yield[failed]);
    if (failed) return "";
    return text.substr(text.find(' ') + 1, text.find(' ', text.find(' ') + 1) - text.find(' ') - 1);
  }

  // Returns whether all bytes were written.
  bool Write(Task& task, Socket& socket, const std::string& bytes) {
    error_code failed;
    this->written += asio::async_write(socket, asio::buffer(bytes), task.yield[failed]);
    return !failed;
  }

  // Writes `bytes` again and again until the client closes the connection.
  void WriteForever(Task& task, Socket& socket, const std::string& bytes) {
    while (this->Write(task, socket, bytes)) {
    }
  }

  Endpoint Address() const { return this->listener.Address(); }
  int Connections() const { return this->listener.Connections(); }

  TargetEntry Target() const {
    TargetEntry entry;
    entry.id = "t";
    entry.address = this->Address();
    return entry;
  }

  Runtime runtime;
  std::size_t written = 0;

 private:
  testing::RawListener listener;
};

// A response that carries `id` and has it as its body.
std::string ResponseTo(const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + std::string(platform::kAttemptIdField) + ": " + id + "\r\n" +
         platform::kSignatureField + ": s\r\nContent-Length: " + std::to_string(id.size()) +
         "\r\n\r\n" + id;
}

platform::ForwardRequest RequestFor(const std::string& id) {
  platform::ForwardRequest request;
  request.id = id;
  request.method = "GET";
  request.target = id;
  request.headers = HttpHeaders(std::vector<HttpHeaders::Field>{{"Host", "h"}});
  return request;
}

CallOptions Within(Duration duration) { return CallOptions(SteadyNow() + duration, duration); }

// Guards against a caller that gets the answer of another one: a target sends a response twice, and
// the second copy arrives when the connection is in use again, right behind the first, or while the
// connection is idle.
TEST_CASE("a second copy of a response reaches no other request", "[http][peer]") {
  std::unique_ptr<ScriptedPeer> peer;
  peer = std::make_unique<ScriptedPeer>([&peer](Task& task, Socket& socket) {
    std::string before;
    while (true) {
      const std::string id = ScriptedPeer::ReadRequest(task, socket);
      if (id.empty()) return;
      std::string bytes = ResponseTo(id);
      if (before == "/in-use") bytes = ResponseTo(before) + bytes;
      if (id == "/right-behind") bytes += bytes;
      if (!peer->Write(task, socket, bytes)) return;
      if (id == "/idle") {
        SleepUntil(task, SteadyNow() + milliseconds(5));
        peer->Write(task, socket, ResponseTo(id));
      }
      before = id;
    }
  });
  platform::EngineClient client(peer->runtime);
  RunTask(peer->runtime, [&](Task& task) {
    int expected_connections = 0;
    for (const std::string first : {"/in-use", "/right-behind", "/idle"}) {
      ++expected_connections;
      for (const std::string& id : {first, std::string("/next"), std::string("/third")}) {
        const auto reply = client.Forward(task, SendPermit::Unchecked(), peer->Target(),
                                          RequestFor(id), seconds(5), Within(seconds(5)));
        INFO(first << " " << id << " " << (reply ? "" : reply.error().message));
        REQUIRE(reply);
        CHECK(reply->body == id);
        SleepUntil(task, SteadyNow() + milliseconds(20));
      }
      ++expected_connections;  // a connection that was out of step is not used again
      CHECK(peer->Connections() == expected_connections);
      client.CloseIdleConnections(peer->Target());
    }
  });
}

// Guards against an order that counts as accepted because the response to an earlier order arrived
// twice: the engine would be taken for one that loads the weights.
TEST_CASE("a second copy of the response to an order is not taken for the next one",
          "[http][peer]") {
  std::unique_ptr<ScriptedPeer> peer;
  int orders = 0;
  peer = std::make_unique<ScriptedPeer>([&](Task& task, Socket& socket) {
    while (!ScriptedPeer::ReadRequest(task, socket).empty()) {
      const std::string accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
      const std::string busy = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
      peer->Write(task, socket, ++orders == 1 ? accepted : busy);
      if (orders > 1) continue;
      SleepUntil(task, SteadyNow() + milliseconds(60));
      peer->Write(task, socket, accepted);
    }
  });
  platform::EngineClient client(peer->runtime);
  RunTask(peer->runtime, [&](Task& task) {
    platform::WeightOrder order;
    order.model = "m";
    const auto send = [&] {
      return client.SendOrder(task, SendPermit::Unchecked(), peer->Target(), order,
                              [] { return true; });
    };
    CHECK(send() == platform::OrderOutcome::kAccepted);
    CHECK(send() == platform::OrderOutcome::kBusy);
    SleepUntil(task, SteadyNow() + milliseconds(100));
    CHECK(send() == platform::OrderOutcome::kBusy);
  });
}

// Guards against the use of a response that carries no id or that of another request.
TEST_CASE("a response without the id of the request is an error", "[http][peer]") {
  std::unique_ptr<ScriptedPeer> peer;
  peer = std::make_unique<ScriptedPeer>([&peer](Task& task, Socket& socket) {
    const std::string id = ScriptedPeer::ReadRequest(task, socket);
    peer->Write(task, socket,
                id == "/none" ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : ResponseTo("/a"));
  });
  platform::EngineClient client(peer->runtime);
  RunTask(peer->runtime, [&](Task& task) {
    for (const std::string id : {"/none", "/b"}) {
      const auto reply = client.Forward(task, SendPermit::Unchecked(), peer->Target(),
                                        RequestFor(id), seconds(5), Within(seconds(5)));
      REQUIRE_FALSE(reply);
      CHECK(reply.error().code == ErrorCode::kBadResponse);
      CHECK(reply.error().ran == Ran::kUnknown);
    }
  });
}

// Guards against a truncated response that counts as a success. Without a length, only an orderly
// end of the connection ends the body.
TEST_CASE("a response that breaks off is an error", "[http][peer]") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::map<std::string, std::string> responses = {
      {"/length", head + "Content-Length: 10\r\n\r\nhalf"},
      {"/chunk", head + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf"},
      {"/between-chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
      {"/last-chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"},
      {"/header", head + "Content-Le"},
      {"/no-length", head + "\r\nhalf"}};
  bool reset = false;
  std::unique_ptr<ScriptedPeer> peer;
  peer = std::make_unique<ScriptedPeer>([&](Task& task, Socket& socket) {
    const std::string target = ScriptedPeer::ReadRequest(task, socket);
    peer->Write(task, socket, responses.at(target));
    SleepUntil(task, SteadyNow() + milliseconds(5));
    if (reset) socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  });
  HttpClient client(peer->runtime);
  RunTask(peer->runtime, [&](Task& task) {
    for (const bool with_reset : {false, true}) {
      reset = with_reset;
      for (const auto& [target, bytes] : responses) {
        const auto response =
            client.Call(task, peer->Address(), HttpRequest::Builder().SetTarget(target).Build(),
                        Within(seconds(5)));
        INFO(target << (reset ? " reset" : " closed"));
        CHECK(response.has_value() == (target == "/no-length" && !reset));
        if (!response) CHECK(response.error().ran == Ran::kUnknown);
      }
    }
  });
}

// Guards against a process that runs out of memory or waits forever because a peer in trouble never
// stops sending.
TEST_CASE("bytes without end are read up to a limit", "[http][peer]") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  struct Endless {
    std::string start;
    std::string repeated;
    std::size_t limit;  // of what the client reads, in bytes
  };
  constexpr std::size_t kSmall = 1 << 20;
  const std::map<std::string, Endless> kinds = {
      {"/garbage", {"", std::string(1000, 'x'), kSmall}},
      {"/header-field", {head + "X-A: ", std::string(1000, 'x'), kSmall}},
      {"/header-fields", {head, "X-A: " + std::string(1000, 'x') + "\r\n", kSmall}},
      {"/interim", {"", "HTTP/1.1 102 Processing\r\n\r\n", kSmall}},
      {"/chunk-extension", {chunked + "4;a=", std::string(1000, 'x'), kSmall}},
      {"/trailer-field", {chunked + "0\r\nX-A: ", std::string(1000, 'x'), kSmall}},
      {"/trailer-fields", {chunked + "0\r\n", "X-A: " + std::string(1000, 'x') + "\r\n", kSmall}},
      {"/chunks",
       {chunked, "3e8\r\n" + std::string(1000, 'x') + "\r\n", 2 * HttpClient::kMaxResponseBytes}},
      {"/no-length", {head + "\r\n", std::string(1000, 'x'), 2 * HttpClient::kMaxResponseBytes}},
      {"/length",
       {head + "Content-Length: 99999999999\r\n\r\n", std::string(1000, 'x'),
        2 * HttpClient::kMaxResponseBytes}}};
  std::unique_ptr<ScriptedPeer> peer;
  peer = std::make_unique<ScriptedPeer>([&](Task& task, Socket& socket) {
    const Endless& kind = kinds.at(ScriptedPeer::ReadRequest(task, socket));
    socket.set_option(asio::socket_base::send_buffer_size(64 << 10));
    if (peer->Write(task, socket, kind.start)) peer->WriteForever(task, socket, kind.repeated);
  });
  HttpClient client(peer->runtime);
  RunTask(peer->runtime, [&](Task& task) {
    for (const auto& [target, kind] : kinds) {
      peer->written = 0;
      const auto response =
          client.Call(task, peer->Address(), HttpRequest::Builder().SetTarget(target).Build(),
                      Within(seconds(20)));
      INFO(target << " " << peer->written);
      REQUIRE_FALSE(response);
      CHECK(response.error().code == ErrorCode::kBadResponse);
      // Besides what the client reads, the buffers of the two sockets hold some megabytes.
      CHECK(peer->written < kind.limit + (16 << 20));
    }
  });
}

// One event of a text in the form of the platform's engines.
std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

constexpr Duration kStall = milliseconds(200);  // progress timeout of the runs below

// Runs a generation whose stream consists of `pieces`, with `pause` after each; a "*" is repeated.
platform::GenerationOutcome Generate(const std::vector<std::string>& pieces, Duration pause,
                                     std::vector<int64_t>& events, Duration& took) {
  std::unique_ptr<ScriptedPeer> peer;
  peer = std::make_unique<ScriptedPeer>([&](Task& task, Socket& socket) {
    ScriptedPeer::ReadRequest(task, socket);
    peer->Write(task, socket,
                "HTTP/1.1 200 OK\r\n" + std::string(platform::kAttemptIdField) + ": r\r\n" +
                    platform::kSignatureField + ": s\r\n\r\n");
    for (const std::string& piece : pieces) {
      do {
        if (!peer->Write(task, socket, piece)) return;
        SleepUntil(task, SteadyNow() + pause);
      } while (&piece == &pieces.back() && piece == ":\n");
    }
    socket.close();
  });
  platform::EngineClient client(peer->runtime);
  platform::GenerationOutcome outcome;
  RunTask(peer->runtime, [&](Task& task) {
    platform::GenerationRequest request;
    request.id = "r";
    request.host = "h";
    request.path = "/p";
    const TimePoint started = SteadyNow();
    outcome = client.Generate(task, SendPermit::Unchecked(), peer->Target(), request,
                              CallOptions(started + seconds(30), kStall),
                              [&](const platform::GenerationEvent& event) -> Result<void> {
                                events.push_back(event.number);
                                return {};
                              });
    took = SteadyNow() - started;
  });
  return outcome;
}

// Guards against an item that waits until its run's deadline for the end of an error whose body
// trickles without end, although its outcome is known from the status.
TEST_CASE("the body of an error that trickles is not read to its end", "[http][peer]") {
  const std::string status = GENERATE("500 Failed", "422 No", "421 Other");
  std::unique_ptr<ScriptedPeer> peer;
  peer = std::make_unique<ScriptedPeer>([&](Task& task, Socket& socket) {
    ScriptedPeer::ReadRequest(task, socket);
    peer->Write(task, socket,
                "HTTP/1.1 " + status + "\r\n" + std::string(platform::kAttemptIdField) +
                    ": r\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (peer->Write(task, socket, "1\r\nx\r\n")) {
      SleepUntil(task, SteadyNow() + kStall / 4);
    }
  });
  platform::EngineClient client(peer->runtime);
  RunTask(peer->runtime, [&](Task& task) {
    platform::GenerationRequest request;
    request.id = "r";
    request.host = "h";
    request.path = "/p";
    const TimePoint started = SteadyNow();
    const auto outcome =
        client.Generate(task, SendPermit::Unchecked(), peer->Target(), request,
                        CallOptions(started + seconds(30), kStall),
                        [](const platform::GenerationEvent&) -> Result<void> { return {}; });
    CHECK(std::to_string(outcome.status) == status.substr(0, 3));
    CHECK(outcome.kind != platform::GenerationOutcome::Kind::kBroken);
    CHECK(SteadyNow() - started < seconds(15));
  });
}

// Guards against a stream that is cut although its events arrive, because it is slow as a whole.
TEST_CASE("a slow stream whose events arrive in time is read to its end", "[http][peer]") {
  std::vector<std::string> pieces;
  for (int i = 1; i <= 8; ++i) {
    pieces.push_back(Event(i).substr(0, 5));
    pieces.push_back(Event(i).substr(5));
  }
  std::vector<int64_t> events;
  Duration took;
  const auto outcome = Generate(pieces, milliseconds(60), events, took);
  CHECK(outcome.kind == platform::GenerationOutcome::Kind::kComplete);
  CHECK(events.size() == 8);
}

// Guards against a stalled stream that holds its item until the end of the job, because comments or
// parts of an event still arrive.
TEST_CASE("a stream that sends bytes but no events is given up", "[http][peer]") {
  std::vector<std::string> trickle = {Event(1)};
  for (int i = 0; i < 40; ++i) trickle.push_back("x");  // a part of a line without an end
  for (const std::vector<std::string>& pieces :
       {std::vector<std::string>{Event(1), ":\n"}, trickle}) {
    std::vector<int64_t> events;
    Duration took;
    const auto outcome = Generate(pieces, milliseconds(60), events, took);
    CHECK(outcome.kind == platform::GenerationOutcome::Kind::kBroken);
    CHECK(events == std::vector<int64_t>{1});
    CHECK(took < kStall * 5);
  }
}

// Guards against the text of an item that ends early because the target of a later run failed
// before its first event and closed the connection.
TEST_CASE("a generation without an event is complete only if nothing was left", "[http][peer]") {
  struct Answer {
    const char* fields;
    int64_t resume_after;
    bool complete;
  };
  const Answer answer =
      GENERATE(Answer{"Content-Type: text/event-stream\r\nContent-Length: 0\r\n", 2, true},
               Answer{"Content-Type: text/event-stream\r\nContent-Length: 0\r\n", 0, false},
               Answer{"Content-Type: text/event-stream\r\n", 2, false},
               Answer{"Content-Length: 0\r\n", 2, false});
  CAPTURE(answer.fields, answer.resume_after);
  std::unique_ptr<ScriptedPeer> peer;
  peer = std::make_unique<ScriptedPeer>([&](Task& task, Socket& socket) {
    ScriptedPeer::ReadRequest(task, socket);
    peer->Write(task, socket,
                "HTTP/1.1 200 OK\r\n" + std::string(platform::kAttemptIdField) + ": r\r\n" +
                    platform::kSignatureField + ": s\r\n" + answer.fields + "\r\n");
  });
  platform::EngineClient client(peer->runtime);
  RunTask(peer->runtime, [&](Task& task) {
    platform::GenerationRequest request;
    request.id = "r";
    request.host = "h";
    request.path = "/p";
    request.resume_after = answer.resume_after;
    const auto outcome =
        client.Generate(task, SendPermit::Unchecked(), peer->Target(), request, Within(seconds(5)),
                        [](const auto&) { return Result<void>(); });
    CHECK((outcome.kind == platform::GenerationOutcome::Kind::kComplete) == answer.complete);
  });
}

}  // namespace
}  // namespace anvilcroft
