// Tests of the fake link. Tests of partitions and silent connections rely on it to break exactly
// the connections that its mode names.

#include "fakes/fake_link.h"

#include <catch2/catch.hpp>

#include "anvilcroft/http_server.h"
#include "anvilcroft/tcp_probe.h"
#include "testing/fake_test_util.h"

namespace anvilcroft::fakes {
namespace {

// A server that answers each request with its body.
std::unique_ptr<HttpServer> EchoServer(Runtime& runtime) {
  return HttpServer::Builder(runtime)
      .SetHandler([](Task& task, const HttpRequest& request, HttpReply& reply) {
        reply.Send(task, JsonResponse(200, request.Body()));
      })
      .Build();
}

TEST_CASE("each mode of the link breaks exactly the connections that it should", "[fakes]") {
  Runtime runtime;
  const auto server = EchoServer(runtime);
  const auto link = FakeLink::Builder(runtime)
                        .SetTarget(StartFake(*server))
                        .SetDelay(milliseconds(2), milliseconds(2))
                        .Build();
  const Endpoint endpoint = StartFake(*link);
  const Endpoint control = *ParseEndpoint(link->ControlAddress());
  HttpClient http(runtime);
  RunTask(runtime, [&](Task& task) {
    const std::string body(300000, 'x');
    const auto request = HttpRequest::Builder().SetMethod("POST").SetBody(body).Build();
    const auto call = [&](Duration limit) {
      const auto response = http.Call(task, endpoint, request, CallOptions(SteadyNow() + limit));
      return response ? std::string(response->Body() == body ? "whole" : "changed")
                      : std::string(ErrorCodeName(response.error().code));
    };
    const auto set = [&](const char* mode) {
      BodyOf(http.Call(task, control, Post("/control/faults", {{"mode", mode}}),
                       CallOptions(DefaultDeadline())));
    };
    CHECK(call(seconds(10)) == "whole");
    set("silent");
    CHECK(call(milliseconds(200)) == "deadline_exceeded");  // on the reused connection
    CHECK(call(seconds(10)) == "whole");                    // on a new connection
    set("silent_all");
    CHECK(call(milliseconds(200)) == "deadline_exceeded");
    CHECK(call(milliseconds(200)) == "deadline_exceeded");
    set("up");
    CHECK(call(seconds(10)) == "whole");
    set("cut");
    // The reset can reach the client before its connect has completed.
    const std::string cut = call(seconds(10));
    CHECK((cut == "connection_lost" || cut == "connect_failed"));
    set("up");
    CHECK(call(seconds(10)) == "whole");
    CHECK(BodyOf(http.Call(task, control, Get("/control/log"),
                           CallOptions(DefaultDeadline())))["bytes"] > 4 * 600000);
  });
}

TEST_CASE("open connections continue after a partition ends", "[fakes]") {
  Runtime runtime;
  const auto server = EchoServer(runtime);
  const auto link = FakeLink::Builder(runtime).SetTarget(StartFake(*server)).Build();
  const Endpoint endpoint = StartFake(*link);
  HttpClient http(runtime);
  RunTask(runtime, [&](Task& task) {
    const auto call = [&] {
      return http.Call(task, endpoint, Post("/", {{"a", 1}}), CallOptions(DefaultDeadline()));
    };
    REQUIRE(call());
    link->SetMode(FakeLink::Mode::kSilentAll);
    runtime.Spawn([&](Task& other) {
      SleepUntil(other, SteadyNow() + milliseconds(50));
      link->SetMode(FakeLink::Mode::kUp);
    });
    CHECK(call());
  });
}

TEST_CASE("a link refuses or ignores new connections", "[fakes]") {
  Runtime runtime;
  const auto server = EchoServer(runtime);
  const auto link = FakeLink::Builder(runtime).SetTarget(StartFake(*server)).Build();
  const Endpoint endpoint = StartFake(*link);
  HttpClient http(runtime);
  RunTask(runtime, [&](Task& task) {
    const auto call = [&](bool fresh) {
      const CallOptions options =
          CallOptions(DefaultDeadline()).WithConnectTimeout(milliseconds(200));
      return http.Call(task, endpoint, Post("/", {{"a", 1}}),
                       fresh ? options.WithFreshConnection() : options);
    };
    const auto connects = [&] {
      return ProbeConnection(task, endpoint, SteadyNow() + milliseconds(200)).has_value();
    };
    REQUIRE(call(false));
    link->SetMode(FakeLink::Mode::kRefuseNew);
    CHECK(call(false));
    CHECK(RefusesConnections(task, endpoint, SteadyNow() + milliseconds(200)));
    link->SetMode(FakeLink::Mode::kRefuse);
    CHECK_FALSE(call(false));
    link->SetMode(FakeLink::Mode::kUnreachable);
    CHECK_FALSE(connects());
    CHECK_FALSE(RefusesConnections(task, endpoint, SteadyNow() + milliseconds(200)));
    link->SetMode(FakeLink::Mode::kUp);
    CHECK(connects());
    CHECK(call(true));
  });
}

}  // namespace
}  // namespace anvilcroft::fakes
