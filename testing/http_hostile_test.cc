// Sends malformed and slow input to the HTTP server: each connection gets an error or is closed,
// and an ordinary request on another connection still succeeds.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <random>

#include "anvilcroft/http_client.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/json.h"
#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;

// A server with low limits and a route that parses the request's body as JSON.
class TestServer {
 public:
  TestServer() : client(this->runtime) {
    this->router.Add(
        "POST", "/parse",
        [](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
          const auto body = ParseJson(request.Body());
          reply.Send(task, body ? JsonResponse(200, DumpJson(*body)) : ErrorResponse(body.error()));
        });
    this->server =
        HttpServer::Builder(this->runtime)
            .SetMaxBodyBytes(64 << 10)
            .SetReadTimeout(milliseconds(300))
            .SetIdleTimeout(milliseconds(300))
            .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
              this->router.Handle(task, request, reply);
            })
            .Build();
    this->endpoint = *ParseEndpoint(*this->server->Start());
  }

  void Run(const Runtime::Body& body) {
    this->runtime.Spawn([&](Task& task) {
      body(task);
      this->runtime.Stop();
    });
    this->runtime.Run();
  }

  asio::ip::tcp::socket Connect(Task& task) {
    asio::ip::tcp::socket socket(this->runtime.Impl().io);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(this->endpoint.ip),
                                          this->endpoint.port);
    boost::system::error_code failed;
    socket.async_connect(address, task.yield[failed]);
    REQUIRE_FALSE(failed);
    return socket;
  }

  // Sends `bytes` on a new connection and returns everything that the server sends back. With
  // `half_close`, closes the sending side of the connection after `bytes`.
  std::string Exchange(Task& task, const std::string& bytes, bool half_close) {
    asio::ip::tcp::socket socket = this->Connect(task);
    boost::system::error_code failed;
    asio::async_write(socket, asio::buffer(bytes), task.yield[failed]);
    if (half_close) socket.shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    return ReadAll(task, socket);
  }

  static std::string ReadAll(Task& task, asio::ip::tcp::socket& socket) {
    std::string text;
    boost::system::error_code failed;
    char buffer[4096];
    while (!failed) {
      const std::size_t size = socket.async_read_some(asio::buffer(buffer), task.yield[failed]);
      text.append(buffer, size);
    }
    return text;
  }

  // Sends an ordinary request and checks that the response has the same body.
  void CheckServes(Task& task) {
    const auto request =
        HttpRequest::Builder().SetMethod("POST").SetTarget("/parse").SetJson("[1,2]").Build();
    const auto response =
        this->client.Call(task, this->endpoint, request, CallOptions(SteadyNow() + seconds(10)));
    REQUIRE(response);
    REQUIRE(response->Status() == 200);
    REQUIRE(response->Body() == "[1,2]");
  }

  Runtime runtime;
  HttpRouter router;
  std::unique_ptr<HttpServer> server;
  HttpClient client;
  Endpoint endpoint;
};

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /parse HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body;
}

TEST_CASE("malformed requests get an error or a closed connection", "[http][hostile]") {
  const std::string deep(60000, '[');
  const std::vector<std::string> inputs = {
      std::string(100, '\0'),
      "\x16\x03\x01\x02",
      "\r\n\r\n\r\n",
      "GET",
      "GET /\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "G E T / HTTP/1.1\r\n\r\n",
      "GET  / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost",
      "GET / HTTP/1.1\r\nno colon here\r\n\r\n",
      "GET / HTTP/1.1\r\n: empty name\r\n\r\n",
      "GET / HTTP/1.1\r\nName : space\r\n\r\n",
      "GET / HTTP/1.1\r\nA: \x01\x02\r\n\r\n",
      "GET /\x01 HTTP/1.1\r\n\r\n",
      "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n",
      Post("Content-Length: -1\r\n", ""),
      Post("Content-Length: 1x\r\n", "a"),
      Post("Content-Length: 99999999999999999999999\r\n", "a"),
      Post("Content-Length: 5\r\nContent-Length: 6\r\n", "[1,2]x"),
      Post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      Post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"),
      Post("Transfer-Encoding: chunked\r\n", "zz\r\n"),
      Post("Transfer-Encoding: chunked\r\n", "ffffffffffffffffff\r\n"),
      Post("Transfer-Encoding: chunked\r\n", "5;" + std::string(30000, 'x') + "\r\n"),
      Post("Transfer-Encoding: chunked\r\n", "20000\r\n" + std::string(0x20000, ' ')),
      Post("Content-Length: 131072\r\n", std::string(131072, ' ')),
      Post("Content-Length: 60000\r\n", deep),
      Post("Content-Length: 10\r\n", "[1,2"),
  };
  TestServer server;
  server.Run([&](Task& task) {
    for (const bool half_close : {true, false}) {
      for (const auto& input : inputs) {
        INFO(input.substr(0, 120));
        const std::string answer = server.Exchange(task, input, half_close);
        INFO(answer.substr(0, 200));
        CHECK((answer.empty() || answer.rfind("HTTP/1.1 4", 0) == 0));
        server.CheckServes(task);
      }
    }
  });
}

TEST_CASE("random bytes and damaged requests do not disturb the server", "[http][hostile]") {
  TestServer server;
  std::mt19937_64 random(21);
  const std::string valid = Post("Content-Length: 5\r\nX-Request-Id: a\r\n", "[1,2]");
  server.Run([&](Task& task) {
    for (int round = 0; round < 400; ++round) {
      std::string input = valid;
      if (round % 4 == 0) input.resize(random() % 600);
      for (uint64_t edits = random() % 4 + 1; edits > 0 && !input.empty(); --edits) {
        input[random() % input.size()] = static_cast<char>(random());
        if (random() % 3 == 0) input.erase(random() % input.size(), random() % 9);
      }
      const std::string answer = server.Exchange(task, input, true);
      INFO(input);
      CHECK((answer.empty() || answer.rfind("HTTP/1.", 0) == 0));
      if (round % 20 == 0) server.CheckServes(task);
    }
    server.CheckServes(task);
    CHECK(server.server->ActiveRequests() == 0);
  });
}

TEST_CASE("connections that send slowly are closed while others are served", "[http][hostile]") {
  TestServer server;
  server.Run([&](Task& task) {
    std::vector<asio::ip::tcp::socket> slow;
    for (int i = 0; i < 50; ++i) slow.push_back(server.Connect(task));
    boost::system::error_code failed;
    const std::string request = Post("Content-Length: 5\r\n", "[1,2]");
    // At one byte every 10 ms no single read is slow, but the request as a whole is.
    for (std::size_t at = 0; at < 40; ++at) {
      for (auto& socket : slow) {
        if (!failed) socket.send(asio::buffer(&request[at], 1), 0, failed);
        failed = {};
      }
      if (at % 10 == 0) server.CheckServes(task);
      SleepUntil(task, SteadyNow() + milliseconds(10));
    }
    for (auto& socket : slow) CHECK(TestServer::ReadAll(task, socket).empty());
    server.CheckServes(task);
  });
}

TEST_CASE("pipelined requests are answered in order", "[http][hostile]") {
  TestServer server;
  std::string input;
  for (int i = 0; i < 100; ++i) {
    const std::string body = "[" + std::to_string(i) + "]";
    input += Post("Content-Length: " + std::to_string(body.size()) + "\r\n", body);
  }
  server.Run([&](Task& task) {
    const std::string answers = server.Exchange(task, input, true);
    std::size_t at = 0;
    for (int i = 0; i < 100; ++i) {
      at = answers.find("\r\n\r\n[" + std::to_string(i) + "]", at);
      REQUIRE(at != std::string::npos);
    }
  });
}

// Guards against a body that the client would read as the start of the next response.
TEST_CASE("the response to a HEAD request has no body", "[http][hostile]") {
  TestServer server;
  server.Run([&](Task& task) {
    const std::string answer =
        server.Exchange(task, "HEAD /parse HTTP/1.1\r\nHost: x\r\n\r\n", true);
    REQUIRE(answer.rfind("HTTP/1.1 404", 0) == 0);
    CHECK(answer.substr(answer.find("\r\n\r\n") + 4).empty());
  });
}

}  // namespace
}  // namespace anvilcroft
