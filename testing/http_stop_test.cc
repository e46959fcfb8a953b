// Tests the graceful stop of the HTTP server: requests that have arrived, or whose connection has
// just been accepted, are answered.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <random>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/runtime_impl.h"
#include "testing/run_task.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using testing::RunTask;
using testing::WaitUntil;

constexpr char kRequest[] = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";

// A server whose handler takes a few milliseconds, and raw connections to it.
class StoppingServer {
 public:
  StoppingServer() {
    this->server = HttpServer::Builder(this->runtime)
                       .SetHandler([](Task& task, const HttpRequest& request, HttpReply& reply) {
                         SleepUntil(task, SteadyNow() + milliseconds(5));
                         reply.Send(task, HttpResponse::Builder().SetBody(request.Body()).Build());
                       })
                       .Build();
    const Endpoint endpoint = *ParseEndpoint(*this->server->Start());
    this->address = {asio::ip::make_address(endpoint.ip), endpoint.port};
  }

  // Connects without letting other tasks run.
  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket socket(this->runtime.Impl().io);
    socket.connect(this->address);
    return socket;
  }

  // Sends `bytes` without letting other tasks run.
  static void Send(asio::ip::tcp::socket& socket, const std::string& bytes) {
    asio::write(socket, asio::buffer(bytes));
  }

  // Reads until a response is complete or the connection ends. Returns what was read.
  static std::string ReadResponse(Task& task, asio::ip::tcp::socket& socket) {
    std::string text;
    error_code failed;
    char buffer[512];
    while (!failed && !Complete(text)) {
      text.append(buffer, socket.async_read_some(asio::buffer(buffer), task.yield[failed]));
    }
    return text;
  }

  static bool Complete(const std::string& text) {
    return text.compare(0, 12, "HTTP/1.1 200") == 0 && text.size() > 8 &&
           text.compare(text.size() - 8, 8, "\r\n\r\nbody") == 0;
  }

  Runtime runtime;
  std::unique_ptr<HttpServer> server;
  asio::ip::tcp::endpoint address;
};

// Guards against a stop that cuts off callers which have just connected.
TEST_CASE("a stopping server answers the first request of an accepted connection", "[http][stop]") {
  StoppingServer test;
  RunTask(test.runtime, [&](Task& task) {
    auto accepted = test.Connect();
    SleepUntil(task, SteadyNow() + milliseconds(20));  // the server waits for its first byte
    auto queued = test.Connect();                      // still in the listen queue
    test.server->StopAccepting();
    SleepUntil(task, SteadyNow() + milliseconds(20));
    StoppingServer::Send(accepted, kRequest);
    StoppingServer::Send(queued, kRequest);
    CHECK(StoppingServer::Complete(StoppingServer::ReadResponse(task, accepted)));
    CHECK(StoppingServer::Complete(StoppingServer::ReadResponse(task, queued)));
    accepted.close();
    queued.close();
    CHECK(WaitUntil(task, [&] { return test.server->Connections() == 0; }));
  });
}

// Guards against a stop that cuts off a request which the kernel has received and the process has
// not read, or of which it has read a part.
TEST_CASE("a stopping server answers requests that are on their way", "[http][stop]") {
  StoppingServer test;
  RunTask(test.runtime, [&](Task& task) {
    auto kept = test.Connect();
    auto partial = test.Connect();
    for (auto* socket : {&kept, &partial}) {
      StoppingServer::Send(*socket, kRequest);
      REQUIRE(StoppingServer::Complete(StoppingServer::ReadResponse(task, *socket)));
    }
    StoppingServer::Send(partial, "POST / HTTP/1.1\r\nHo");
    SleepUntil(task, SteadyNow() + milliseconds(20));
    StoppingServer::Send(kept, kRequest);
    test.server->StopAccepting();
    StoppingServer::Send(partial, std::string(kRequest).substr(19));
    CHECK(StoppingServer::Complete(StoppingServer::ReadResponse(task, kept)));
    CHECK(StoppingServer::Complete(StoppingServer::ReadResponse(task, partial)));
  });
}

// Guards against a stopped server that waits for callers which never send a request.
TEST_CASE("a stopped server closes connections without a request", "[http][stop]") {
  StoppingServer test;
  RunTask(test.runtime, [&](Task& task) {
    auto silent = test.Connect();
    auto kept = test.Connect();
    StoppingServer::Send(kept, kRequest);
    REQUIRE(StoppingServer::Complete(StoppingServer::ReadResponse(task, kept)));
    test.server->StopAccepting();
    CHECK(StoppingServer::ReadResponse(task, kept).empty());
    CHECK(test.server->Connections() == 1);
    CHECK(StoppingServer::ReadResponse(task, silent).empty());
    CHECK(WaitUntil(task, [&] { return test.server->Connections() == 0; }));
  });
}

// Guards against the loss of a response because the caller has already sent its next request: the
// reset of a connection that is closed with unread input destroys data in transit.
TEST_CASE("the last response of a connection survives a pipelined request", "[http][stop]") {
  StoppingServer test;
  RunTask(test.runtime, [&](Task& task) {
    for (int round = 0; round < 20; ++round) {
      auto socket = test.Connect();
      test.server->CloseAfterResponse();
      StoppingServer::Send(socket, kRequest);
      SleepUntil(task, SteadyNow() + milliseconds(2));
      StoppingServer::Send(socket, kRequest);
      SleepUntil(task, SteadyNow() + milliseconds(15));
      REQUIRE(StoppingServer::Complete(StoppingServer::ReadResponse(task, socket)));
    }
  });
}

// Guards against any other moment of a stop at which a request is lost: callers connect and send at
// random moments around it, in one or two parts.
TEST_CASE("every request on an accepted connection is answered around a stop", "[http][stop]") {
  std::mt19937 random(7);
  int requests = 0;
  for (int round = 0; round < 40; ++round) {
    StoppingServer test;
    RunTask(test.runtime, [&](Task& task) {
      int open = 0;
      int cut_off = 0;
      const auto millis = [&random](int limit) { return milliseconds(random() % limit); };
      for (int i = 0; i < 25; ++i) {
        ++open;
        test.runtime.Spawn([&, connect_in = millis(40), first_in = millis(10),
                            second_in = millis(10),
                            split = 1 + random() % (sizeof kRequest - 2)](Task& caller) {
          SleepUntil(caller, SteadyNow() + connect_in);
          asio::ip::tcp::socket socket(test.runtime.Impl().io);
          error_code failed;
          socket.async_connect(test.address, caller.yield[failed]);
          if (!failed) {
            ++requests;
            SleepUntil(caller, SteadyNow() + first_in);
            StoppingServer::Send(socket, std::string(kRequest).substr(0, split));
            SleepUntil(caller, SteadyNow() + second_in);
            StoppingServer::Send(socket, std::string(kRequest).substr(split));
            if (!StoppingServer::Complete(StoppingServer::ReadResponse(caller, socket))) ++cut_off;
          }
          --open;
        });
      }
      SleepUntil(task, SteadyNow() + millis(60));
      test.server->StopAccepting();
      REQUIRE(WaitUntil(task, [&] { return open == 0; }));
      CHECK(cut_off == 0);
    });
  }
  CHECK(requests > 400);
}

}  // namespace
}  // namespace anvilcroft
