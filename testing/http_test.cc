// Tests the HTTP server and client: complete responses, streams, limits, lost connections, and that
// a failed connection is never used again.

#include <catch2/catch.hpp>

#include "anvilcroft/http_client.h"
#include "anvilcroft/http_server.h"

namespace anvilcroft {
namespace {

// Runs `body` in a task and stops the runtime when it returns.
void RunTask(Runtime& runtime, const Runtime::Body& body) {
  runtime.Spawn([&](Task& task) {
    body(task);
    runtime.Stop();
  });
  runtime.Run();
}

CallOptions Within(Duration duration) { return CallOptions(SteadyNow() + duration); }

Endpoint StartServer(HttpServer& server) { return *ParseEndpoint(*server.Start()); }

TEST_CASE("a caller receives the complete response", "[http]") {
  Runtime runtime;
  const auto server = HttpServer::Builder(runtime)
                          .SetHandler([](Task& task, const HttpRequest& request, HttpReply& reply) {
                            reply.Send(task, JsonResponse(200, request.Path() + request.Body()));
                          })
                          .Build();
  const Endpoint endpoint = StartServer(*server);
  HttpClient client(runtime);
  RunTask(runtime, [&](Task& task) {
    for (int i = 0; i < 3; ++i) {
      const std::string body(1000 * (i + 1), 'x');
      const auto request =
          HttpRequest::Builder().SetMethod("POST").SetTarget("/a%20b?q=1").SetBody(body).Build();
      const auto response = client.Call(task, endpoint, request, Within(seconds(5)));
      INFO((response ? "" : response.error().message));
      REQUIRE(response);
      CHECK(response->Body() == "/a b" + body);
    }
  });
}

TEST_CASE("a stream arrives chunk by chunk, and an aborted one is an error", "[http]") {
  Runtime runtime;
  const auto server = HttpServer::Builder(runtime)
                          .SetHandler([](Task& task, const HttpRequest& request, HttpReply& reply) {
                            reply.BeginStream(task, 200, HttpHeaders());
                            reply.Write(task, "one");
                            SleepUntil(task, SteadyNow() + milliseconds(20));
                            reply.Write(task, "two");
                            if (request.Path() == "/broken") {
                              reply.Abort();
                            } else {
                              reply.End(task);
                            }
                          })
                          .Build();
  const Endpoint endpoint = StartServer(*server);
  HttpClient client(runtime);
  RunTask(runtime, [&](Task& task) {
    const auto whole = client.Call(task, endpoint, HttpRequest::Builder().SetTarget("/").Build(),
                                   Within(seconds(5)));
    REQUIRE(whole);
    CHECK(whole->Body() == "onetwo");
    const auto broken = client.Call(
        task, endpoint, HttpRequest::Builder().SetTarget("/broken").Build(), Within(seconds(5)));
    REQUIRE_FALSE(broken);
    CHECK(broken.error().code == ErrorCode::kConnectionLost);
    CHECK(broken.error().ran == Ran::kUnknown);
  });
}

TEST_CASE("a refused connection gives an error with Ran::kNo", "[http]") {
  Runtime runtime;
  HttpClient client(runtime);
  RunTask(runtime, [&](Task& task) {
    const auto response =
        client.Call(task, Endpoint{"127.0.0.1", 1}, HttpRequest(), Within(seconds(5)));
    REQUIRE_FALSE(response);
    CHECK(response.error().code == ErrorCode::kConnectFailed);
    CHECK(response.error().ran == Ran::kNo);
  });
}

TEST_CASE("a late response is never used for the next request", "[http]") {
  Runtime runtime;
  const auto server = HttpServer::Builder(runtime)
                          .SetHandler([](Task& task, const HttpRequest& request, HttpReply& reply) {
                            if (request.Path() == "/slow") {
                              SleepUntil(task, SteadyNow() + milliseconds(200));
                            }
                            reply.Send(task, JsonResponse(200, request.Path()));
                          })
                          .Build();
  const Endpoint endpoint = StartServer(*server);
  HttpClient client(runtime);
  RunTask(runtime, [&](Task& task) {
    const auto late = client.Call(task, endpoint, HttpRequest::Builder().SetTarget("/slow").Build(),
                                  Within(milliseconds(50)));
    REQUIRE_FALSE(late);
    CHECK(late.error().code == ErrorCode::kDeadlineExceeded);
    const auto next = client.Call(task, endpoint, HttpRequest::Builder().SetTarget("/next").Build(),
                                  Within(seconds(5)));
    REQUIRE(next);
    CHECK(next->Body() == "/next");
  });
}

TEST_CASE("input beyond a limit is refused and the server stays available", "[http]") {
  Runtime runtime;
  const auto server = HttpServer::Builder(runtime)
                          .SetMaxBodyBytes(100)
                          .SetMaxHeaderBytes(1024)
                          .SetHandler([](Task& task, const HttpRequest&, HttpReply& reply) {
                            reply.Send(task, JsonResponse(200, "{}"));
                          })
                          .Build();
  const Endpoint endpoint = StartServer(*server);
  HttpClient client(runtime);
  RunTask(runtime, [&](Task& task) {
    const auto call = [&](const HttpRequest& request) {
      return client.Call(task, endpoint, request, Within(seconds(5)));
    };
    const auto large = call(HttpRequest::Builder().SetBody(std::string(101, 'x')).Build());
    REQUIRE(large);
    CHECK(large->Status() == 413);
    const auto header =
        call(HttpRequest::Builder().SetHeader("X-Long", std::string(2000, 'x')).Build());
    REQUIRE(header);
    CHECK(header->Status() == 431);
    const auto ordinary = call(HttpRequest());
    REQUIRE(ordinary);
    CHECK(ordinary->Status() == 200);
  });
}

TEST_CASE("a stopping server finishes the request in progress", "[http]") {
  Runtime runtime;
  const auto server = HttpServer::Builder(runtime)
                          .SetHandler([](Task& task, const HttpRequest&, HttpReply& reply) {
                            SleepUntil(task, SteadyNow() + milliseconds(100));
                            reply.Send(task, JsonResponse(200, "{}"));
                          })
                          .Build();
  const Endpoint endpoint = StartServer(*server);
  HttpClient client(runtime);
  runtime.Spawn([&](Task& task) {
    SleepUntil(task, SteadyNow() + milliseconds(30));
    server->StopAccepting();
  });
  RunTask(runtime, [&](Task& task) {
    const auto response = client.Call(task, endpoint, HttpRequest(), Within(seconds(5)));
    REQUIRE(response);
    CHECK(response->Status() == 200);
    const auto refused = client.Call(task, endpoint, HttpRequest(), Within(seconds(5)));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().ran == Ran::kNo);
  });
}

}  // namespace
}  // namespace anvilcroft
