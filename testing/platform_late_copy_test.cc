// Tests second copies of answers that arrive when their connection is in use again, by a request
// with the same id: items that run again in a later job, retries, scoring requests and relays.

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "anvilcroft/app_call.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/target_relay.h"
#include "platform/engine_client.h"
#include "testing/raw_listener.h"
#include "testing/run_task.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Kind = platform::GenerationOutcome::Kind;
using Socket = testing::RawListener::Socket;

constexpr char kId[] = "r1";

std::string Answer(const std::string& status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + kId + "\r\nX-Request-Id: " + kId + "\r\n" +
         fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The answer to a generation under weight version `version`, with one event.
std::string Text(int64_t version, const std::string& data) {
  return Answer("200 OK",
                "X-Server-Stamp: s\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: " +
                    std::to_string(version) + "\r\n",
                "id: 1\ndata: " + data + "\n\n");
}

std::string Score(const std::string& signature) {
  return Answer("200 OK", "X-Server-Stamp: " + signature + "\r\n", "ok");
}

const std::string kFailed = Answer("500 Failed", "", "");
const std::string kRefused = Answer("503 Full", "X-Not-Executed: 1\r\n", "");

// A target that sends its n-th answer to the n-th request, and each answer once more when the next
// request has arrived on its connection.
class CopyingTarget {
 public:
  explicit CopyingTarget(std::vector<std::string> answers, bool copies = true)
      : answers(std::move(answers)),
        copies(copies),
        listener(this->runtime, [this](Task& task, Socket& socket) { this->Serve(task, socket); }) {
  }
  ~CopyingTarget() { this->runtime.EndTasks(); }

  TargetEntry Entry() const {
    TargetEntry entry;
    entry.id = "t";
    entry.address = this->listener.Address();
    return entry;
  }
  int Connections() const { return this->listener.Connections(); }

  Runtime runtime;
  std::vector<std::string> heads;  // of the requests

 private:
  void Serve(Task& task, Socket& socket) {
    std::string copy;
    std::string input;
    error_code failed;
    while (true) {
      const std::size_t length = asio::async_read_until(socket, asio::dynamic_buffer(input),
                                                        "\r\n\r\n", task.yield[failed]);
      if (failed) return;
      this->heads.push_back(input.substr(0, length));
      input.erase(0, length);
      const std::string answer =
          this->answers[std::min(this->answers.size(), this->heads.size()) - 1];
      asio::async_write(socket, asio::buffer(copy + answer), task.yield[failed]);
      if (failed) return;
      if (this->copies) copy = answer;
    }
  }

  std::vector<std::string> answers;
  bool copies;
  testing::RawListener listener;
};

CallOptions WithinSeconds(int count) {
  return CallOptions(SteadyNow() + seconds(count), seconds(count));
}

// What a run of an item brought.
struct Run {
  Kind kind = Kind::kBroken;
  std::string data;
  int64_t version = 0;  // of its last event
};

Run Generate(Task& task, platform::EngineClient& client, const TargetEntry& target,
             int64_t expected_version) {
  platform::GenerationRequest request;
  request.id = kId;
  request.host = "h";
  request.path = "/p";
  request.expected_version = expected_version;
  Run run;
  run.kind = client
                 .Generate(task, SendPermit::Unchecked(), target, request, WithinSeconds(5),
                           [&run](const platform::GenerationEvent& event) -> Result<void> {
                             run.data += event.data;
                             run.version = event.weight_version;
                             return {};
                           })
                 .kind;
  return run;
}

platform::ForwardRequest ScoreRequestFor(const std::string& id) {
  platform::ForwardRequest request;
  request.id = id;
  request.method = "POST";
  request.target = "/score";
  request.headers = HttpHeaders(std::vector<HttpHeaders::Field>{{"Host", "h"}});
  return request;
}

// Guards against a text that was generated under an earlier version, or for an earlier job, and
// counts as the text of a later run of its item: the item has the same id in both, and nothing else
// identifies an answer. A copy of a failure would be another failed attempt of the item, and a copy
// of a refusal would send it elsewhere while it runs.
TEST_CASE("a late copy of an answer is not the answer to a later run of its item", "[copies]") {
  const std::string first =
      GENERATE_COPY(Text(1, "old"), Text(2, "old"), kFailed, kRefused, Answer("422 No", "", ""));
  INFO(first);
  CopyingTarget target({first, Text(2, "new")});
  platform::EngineClient client(target.runtime);
  testing::RunTask(target.runtime, [&](Task& task) {
    Generate(task, client, target.Entry(), 0);
    const Run run = Generate(task, client, target.Entry(), 2);
    CHECK(run.kind == Kind::kComplete);
    CHECK(run.data == "new");
    CHECK(run.version == 2);
  });
}

// Guards against a score that was given to an earlier text of the item, and against a copy of a
// failure that counts as another one.
TEST_CASE("a late copy of a score is not the answer to a later scoring request", "[copies]") {
  const std::string first = GENERATE_COPY(Score("old"), kFailed, kRefused);
  INFO(first);
  CopyingTarget target({first, Score("new")});
  platform::EngineClient client(target.runtime);
  testing::RunTask(target.runtime, [&](Task& task) {
    const auto forward = [&] {
      return client.Forward(task, SendPermit::Unchecked(), target.Entry(), ScoreRequestFor(kId),
                            seconds(5), WithinSeconds(5));
    };
    REQUIRE(forward());
    const auto reply = forward();
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(reply->signature == "new");
  });
}

// Guards against copies at the instance that relays the requests of others: the owner of an item
// that is cut off, and its successor.
TEST_CASE("a late copy at a relaying instance does not reach a later run", "[copies]") {
  CopyingTarget target({Text(2, "old"), Text(2, "new")});
  platform::EngineClient relaying(target.runtime);
  TargetRelay relay([&](const std::string&, WallMillis) { return target.Entry(); },
                    [] { return false; },
                    [&](Task& task, const TargetEntry& entry, const HttpRequest& message,
                        const CallOptions& options) {
                      return relaying.OpenForPeer(task, entry, message, options);
                    });
  std::vector<HttpHeaders> relayed;
  const auto server =
      HttpServer::Builder(target.runtime)
          .SetAddress("127.0.0.1:0")
          .SetHandler([&](Task& task, const HttpRequest& request, HttpReply& reply) {
            relayed.push_back(request.Headers());
            relay.Handle(task, request, reply);
          })
          .Build();
  const RelayPeer peer{"peer", *ParseEndpoint(*server->Start())};
  platform::PathHooks paths;
  paths.choose = [&](const PathQuery&) { return std::optional<RelayPeer>(peer); };
  paths.on_relay = [](const RelayPeer&, bool) {};
  testing::RunTask(target.runtime, [&](Task& task) {
    // The two owners are different processes, each with connections of its own.
    platform::EngineClient first(target.runtime, {}, paths);
    platform::EngineClient second(target.runtime, {}, paths);
    CHECK(Generate(task, first, target.Entry(), 2).data == "old");
    CHECK(Generate(task, second, target.Entry(), 2).data == "new");
    // A relaying instance of an earlier build has to be asked for a new connection.
    REQUIRE(relayed.size() == 2);
    for (const HttpHeaders& headers : relayed) {
      CHECK(headers.Find("Anvilcroft-Relay-Fresh") == "1");
    }
  });
}

// Guards against a text of version 0, which no job allows, from an answer that names no version:
// the target refuses the request if it has not the expected one.
TEST_CASE("an answer that names no weight version is of the expected one", "[copies]") {
  const std::string field = GENERATE("", "X-Weight-Versions: none\r\n");
  CopyingTarget target(
      {Answer("200 OK", "X-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n" + field,
              "id: 1\ndata: d\n\n")},
      false);
  platform::EngineClient client(target.runtime);
  testing::RunTask(target.runtime, [&](Task& task) {
    const Run run = Generate(task, client, target.Entry(), 2);
    CHECK(run.kind == Kind::kComplete);
    CHECK(run.version == 2);
  });
}

// Guards against an answer of another version that reaches a run by any way: a target refuses the
// request if it has not the expected version.
TEST_CASE("an answer of another weight version than expected is not used", "[copies]") {
  CopyingTarget target({Text(1, "old")});
  platform::EngineClient client(target.runtime);
  testing::RunTask(target.runtime, [&](Task& task) {
    const Run run = Generate(task, client, target.Entry(), 2);
    CHECK(run.kind == Kind::kBroken);
    CHECK(run.data.empty());
  });
}

// Guards against work that is repeated at an app or a judge and gets the copy of its first answer.
TEST_CASE("a late copy of a judgement is not the answer to a repeated call", "[copies]") {
  const auto refused = Answer("503 Full", "", "{\"error\":{\"code\":\"leaving\"}}");
  CopyingTarget target({refused, Answer("200 OK", "", "new")});
  HttpClient http(target.runtime);
  testing::RunTask(target.runtime, [&](Task& task) {
    AppCall call;
    call.path = "/judge";
    call.request_id = kId;
    CHECK_FALSE(CallApp(task, http, target.Entry().address, call, WithinSeconds(5)));
    const auto answer = CallApp(task, http, target.Entry().address, call, WithinSeconds(5));
    REQUIRE(answer);
    CHECK(answer->Body() == "new");
  });
}

// Guards against a new connection for each request, which costs its target time.
TEST_CASE("requests with different ids share a connection", "[copies]") {
  CopyingTarget target({"HTTP/1.1 204 No Content\r\n\r\n"}, false);
  HttpClient http(target.runtime);
  testing::RunTask(target.runtime, [&](Task& task) {
    for (int i = 0; i < 20; ++i) {
      const auto answer =
          http.Call(task, target.Entry().address, HttpRequest::Builder().SetTarget("/a").Build(),
                    WithinSeconds(5).WithRequestId("id" + std::to_string(i)));
      REQUIRE(answer);
    }
    CHECK(target.Connections() == 1);
  });
}

}  // namespace
}  // namespace anvilcroft
