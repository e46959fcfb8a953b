// Tests that an unexpected exception ends only the task or the request that it came from.

#include "anvilcroft/runtime.h"

#include <catch2/catch.hpp>
#include <stdexcept>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/http_server.h"
#include "testing/run_task.h"

namespace anvilcroft {
namespace {

using testing::RunTask;
using testing::WaitUntil;

// Guards against a process that ends because one task met a case that nobody thought of.
TEST_CASE("an exception ends its task, and a service starts again", "[runtime]") {
  Runtime runtime;
  int starts = 0;
  runtime.Spawn([](Task&) { throw std::runtime_error("in a task"); });
  runtime.SpawnService("test", [&](Task& task) {
    SleepUntil(task, SteadyNow() + milliseconds(1));
    if (++starts < 3) throw std::out_of_range("in a service");
  });
  RunTask(runtime, [&](Task& task) {
    REQUIRE(WaitUntil(task, [&] { return starts == 3; }));
    SleepUntil(task, SteadyNow() + 2 * Runtime::kServiceRestartPause);
  });
  CHECK(starts == 3);
}

// Guards against a service that throws during the unwinding at the end of the process.
TEST_CASE("waiting services are unwound", "[runtime]") {
  bool unwound = false;
  {
    Runtime runtime;
    runtime.SpawnService("test", [&](Task& task) {
      const std::shared_ptr<void> on_exit(nullptr, [&](void*) { unwound = true; });
      SleepUntil(task, SteadyNow() + seconds(3600));
    });
    RunTask(runtime, [](Task& task) { SleepUntil(task, SteadyNow() + milliseconds(5)); });
    runtime.EndTasks();
  }
  CHECK(unwound);
}

// Guards against a caller that waits without an answer, and a connection that is never closed.
TEST_CASE("an exception in a handler is answered with 500", "[runtime][http]") {
  Runtime runtime;
  const auto server = HttpServer::Builder(runtime)
                          .SetHandler([](Task& task, const HttpRequest& request, HttpReply& reply) {
                            if (request.Path() == "/throw")
                              throw std::runtime_error("in a handler");
                            reply.Send(task, JsonResponse(200, "{}"));
                          })
                          .Build();
  const Endpoint endpoint = *ParseEndpoint(*server->Start());
  HttpClient client(runtime);
  RunTask(runtime, [&](Task& task) {
    for (const auto& [path, status] : {std::make_pair("/throw", 500), std::make_pair("/", 200)}) {
      const auto response =
          client.Call(task, endpoint, HttpRequest::Builder().SetTarget(path).Build(),
                      CallOptions(SteadyNow() + seconds(5)));
      REQUIRE(response);
      CHECK(response->Status() == status);
    }
    CHECK(server->ActiveRequests() == 0);
    server->StopAccepting();
    CHECK(WaitUntil(task, [&] { return server->Connections() == 0; }));
  });
}

}  // namespace
}  // namespace anvilcroft
