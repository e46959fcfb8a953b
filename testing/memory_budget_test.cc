// Tests the decisions and the accounting of the memory budget, and the HTTP server within it.

#include "anvilcroft/limits/memory_budget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "anvilcroft/http_client.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/limits/charged_text.h"
#include "anvilcroft/runtime_impl.h"
#include "testing/run_task.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kSmallestMachine = 120'000'000;
constexpr std::size_t kLargestBody = 33554432;
const TimePoint kStart = TimePoint() + seconds(1000);

MemoryHolder Holder(std::size_t bytes, Duration idle, bool incomplete = true) {
  MemoryHolder holder;
  holder.pool = MemoryPool::kLarge;
  holder.bytes = bytes;
  holder.received = bytes;
  holder.began = kStart - idle;
  holder.progressed = kStart - idle;
  holder.incomplete = incomplete;
  return holder;
}

// Guards against limits that refuse the largest legal body on the smallest machine, or that add up
// to more than the machine has.
TEST_CASE("the pools hold the largest body on the smallest machine", "[memory_budget]") {
  for (const std::size_t memory : {kSmallestMachine, std::size_t{160'000'000},
                                   std::size_t{270'000'000}, std::size_t{512'000'000}}) {
    const PoolSizes sizes = PoolSizes::For(memory);
    CHECK(sizes.Of(MemoryPool::kLarge) >= kLargestBody + (1 << 20));
    CHECK(sizes.bytes[0] + sizes.bytes[1] + sizes.bytes[2] <= memory * 3 / 4);
  }
  const ConnectionLimits limits = ConnectionLimits::For(3075);
  CHECK(limits.callers + limits.directory + limits.ready + limits.internal <= 3075 / 2);
}

// Guards against pools that, with the state of a large site, add up to more than the machine has.
TEST_CASE("the pools leave what the process takes without requests", "[memory_budget]") {
  BaseEstimate base;
  base.Observe(70'000'000, 0, kStart);
  CHECK(base.Bytes() == 70'000'000);
  const PoolSizes sizes = PoolSizes::For(kSmallestMachine, base.Bytes());
  CHECK(sizes.bytes[0] + sizes.bytes[1] + sizes.bytes[2] <= 50'000'000);
  // Charged memory that is not resident yet does not lower the estimate at once.
  base.Observe(70'000'000, 40'000'000, kStart + seconds(6));
  CHECK(base.Bytes() > 60'000'000);
  base.Observe(70'000'000, 40'000'000, kStart + seconds(606));
  CHECK(base.Bytes() == 30'000'000);
}

// Guards against disconnecting clients whose request may run, or that wait for the process itself.
TEST_CASE("holders without progress are disconnected, most waste first", "[memory_budget]") {
  const PoolSizes sizes{{100, 100, 100}};
  std::map<uint64_t, MemoryHolder> holders = {{1, Holder(30, seconds(1))},
                                              {2, Holder(30, seconds(9))},
                                              {3, Holder(30, seconds(60), false)},
                                              {4, Holder(10, milliseconds(10))}};
  const auto decide = [&](std::size_t more) {
    return DecideCharge(holders, sizes, MemoryPool::kLarge, 100, 4, more, kStart);
  };
  CHECK(decide(0) == ChargeDecision{true, {}});
  CHECK(decide(30) == ChargeDecision{true, {2}});
  CHECK(decide(31) == ChargeDecision{true, {2, 1}});
  CHECK(decide(61) == ChargeDecision{false, {}});
  holders[2].waiting = true;
  CHECK(decide(30) == ChargeDecision{true, {1}});
  holders[1].pool = MemoryPool::kCallers;
  CHECK(decide(30) == ChargeDecision{false, {}});
}

// Guards against a client that keeps its memory by a byte now and then.
TEST_CASE("a holder below the least rate makes no progress", "[memory_budget]") {
  MemoryHolder holder = Holder(4 << 20, seconds(5));
  holder.progressed = kStart;
  holder.received = 1000;
  CHECK(MayDisconnect(holder, kStart));
  holder.received = 4 << 20;
  CHECK_FALSE(MayDisconnect(holder, kStart));
  holder.began = kStart;
  holder.received = 0;
  CHECK_FALSE(MayDisconnect(holder, kStart));
}

// Replays the load of the trial: 20 clients with 31 MiB each that stop short, and an ordinary
// client with the largest body.
TEST_CASE("a crowd that stops short does not lock out an ordinary body", "[memory_budget]") {
  MemoryBudget budget(PoolSizes::For(kSmallestMachine));
  const TimePoint now = SteadyNow();
  std::vector<std::shared_ptr<MemoryCharge>> crowd;
  int disconnected = 0;
  int admitted = 0;
  for (int i = 0; i < 20; ++i) {
    crowd.push_back(budget.Open(MemoryPool::kLarge, [&disconnected] { ++disconnected; }));
    crowd.back()->SetIncomplete(now);
    if (crowd.back()->Resize(31 << 20, now)) ++admitted;
    CHECK(budget.Used(MemoryPool::kLarge) <= budget.Sizes().Of(MemoryPool::kLarge));
  }
  CHECK(admitted == 1);
  const auto ordinary = budget.Open(MemoryPool::kLarge);
  CHECK_FALSE(ordinary->Resize(kLargestBody, now + kStallTime / 2));
  CHECK(ordinary->Resize(kLargestBody, now + kStallTime));
  CHECK(disconnected == 1);
  const auto small = budget.Open(MemoryPool::kCallers);
  CHECK(small->Resize(kSmallBodyBytes, now));
}

// Guards against charges that are never released, which would refuse everything in the end.
TEST_CASE("a body keeps its charge until its last copy is gone", "[memory_budget]") {
  MemoryBudget budget(PoolSizes::For(kSmallestMachine));
  SharedBody copy;
  {
    ChargedText text(budget);
    for (int i = 0; i < 100; ++i) REQUIRE(text.Append(std::string(4096, 'x'), 1 << 20));
    const SharedBody body = text.Take();
    CHECK(body.size() == 409600);
    CHECK(budget.Used(MemoryPool::kLarge) >= body.size());
    copy = body;
    CHECK(&copy.Text() == &body.Text());
  }
  CHECK(budget.Used(MemoryPool::kLarge) >= copy.size());
  copy = SharedBody();
  for (const std::size_t pool : {0, 1, 2}) {
    CHECK(budget.Used(static_cast<MemoryPool>(pool)) == 0);
  }
}

// A server with a budget, whose handler answers with the size of the body after `hold` has passed.
class BudgetServer {
 public:
  explicit BudgetServer(const PoolSizes& sizes)
      : budget(std::make_shared<MemoryBudget>(sizes)), client(this->runtime) {
    this->server =
        HttpServer::Builder(this->runtime)
            .SetMaxBodyBytes(kLargestBody)
            .SetBudget(this->budget, MemoryPool::kCallers)
            .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
              SleepUntil(task, SteadyNow() + this->hold);
              reply.Send(
                  task,
                  HttpResponse::Builder().SetBody(std::to_string(request.Body().size())).Build());
            })
            .Build();
    this->endpoint = *ParseEndpoint(*this->server->Start());
  }

  Result<HttpResponse> Post(Task& task, std::size_t bytes) {
    return this->client.Call(task, this->endpoint,
                             HttpRequest::Builder()
                                 .SetMethod("POST")
                                 .SetTarget("/")
                                 .SetBody(std::string(bytes, 'b'))
                                 .Build(),
                             CallOptions(SteadyNow() + seconds(20)).WithFreshConnection());
  }

  // Sends `bytes` on a new connection and returns everything that the server sends back.
  std::string Exchange(Task& task, const std::string& bytes) {
    asio::ip::tcp::socket socket(this->runtime.Impl().io);
    boost::system::error_code failed;
    socket.async_connect({asio::ip::make_address(this->endpoint.ip), this->endpoint.port},
                         task.yield[failed]);
    asio::async_write(socket, asio::buffer(bytes), task.yield[failed]);
    std::string answer;
    char piece[4096];
    while (!failed) {
      answer.append(piece, socket.async_read_some(asio::buffer(piece), task.yield[failed]));
    }
    return answer;
  }

  Runtime runtime;
  std::shared_ptr<MemoryBudget> budget;
  HttpClient client;
  std::unique_ptr<HttpServer> server;
  Endpoint endpoint;
  Duration hold = Duration::zero();
};

// Guards against a server that reads what it has no memory for, and against large bodies that lock
// out small requests.
TEST_CASE("a large body without memory is refused as not run", "[memory_budget]") {
  BudgetServer server(PoolSizes{{1 << 20, 4 << 20, 1 << 20}});
  testing::RunTask(server.runtime, [&](Task& task) {
    const auto holder = server.budget->Open(MemoryPool::kLarge);
    REQUIRE(holder->Resize(1 << 20, SteadyNow()));
    const std::string refused =
        server.Exchange(task, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n" +
                                  std::string(70000, 'b'));
    CHECK(refused.substr(0, 12) == "HTTP/1.1 503");
    CHECK(refused.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(refused.find("X-Ran: no\r\n") != std::string::npos);
    const auto small = server.Post(task, 20000);
    REQUIRE(small);
    CHECK(small->Body() == "20000");
    holder->Clear();
    const auto large = server.Post(task, 500000);
    REQUIRE(large);
    CHECK(large->Body() == "500000");
    CHECK(server.budget->Used(MemoryPool::kLarge) == 0);
  });
}

// Guards against a chunked request that is refused although others are about to release memory.
TEST_CASE("a chunked body waits for memory and is served", "[memory_budget]") {
  BudgetServer server(PoolSizes{{1 << 20, 4 << 20, 1 << 20}});
  testing::RunTask(server.runtime, [&](Task& task) {
    const auto holder = server.budget->Open(MemoryPool::kLarge);
    REQUIRE(holder->Resize(1 << 20, SteadyNow()));
    server.runtime.Spawn([&](Task& other) {
      REQUIRE(
          testing::WaitUntil(other, [&] { return server.budget->Waited(MemoryPool::kLarge) > 0; }));
      holder->Clear();
    });
    std::string request =
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 50; ++i) request += "2000;ext=1\r\n" + std::string(8192, 'b') + "\r\n";
    const std::string answer = server.Exchange(task, request + "0\r\nTrailer: x\r\n\r\n");
    CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
    CHECK(answer.find("409600") != std::string::npos);
    CHECK(server.budget->Used(MemoryPool::kLarge) == 0);
  });
}

// Guards against a default that refuses ordinary traffic.
TEST_CASE("hundreds of small requests at once fit the smallest machine", "[memory_budget]") {
  BudgetServer server(PoolSizes::For(kSmallestMachine));
  constexpr int kRequests = 500;
  server.hold = milliseconds(500);
  int served = 0;
  int ended = 0;
  testing::RunTask(server.runtime, [&](Task& task) {
    for (int i = 0; i < kRequests; ++i) {
      server.runtime.Spawn([&](Task& other) {
        const auto answer = server.Post(other, 2000);
        if (answer && answer->Status() == 200) ++served;
        ++ended;
      });
    }
    REQUIRE(testing::WaitUntil(task, [&] { return ended == kRequests; }));
  });
  CHECK(served == kRequests);
  CHECK(server.budget->Refused(MemoryPool::kCallers) == 0);
}

// Guards against idle connections that lock out others.
TEST_CASE("a new connection replaces the one that has been idle longest", "[memory_budget]") {
  BudgetServer server(PoolSizes::For(kSmallestMachine));
  server.server->SetMaxConnections(3);
  testing::RunTask(server.runtime, [&](Task& task) {
    std::vector<asio::ip::tcp::socket> idle;
    for (int i = 0; i < 10; ++i) {
      idle.emplace_back(server.runtime.Impl().io);
      boost::system::error_code failed;
      idle.back().async_connect({asio::ip::make_address(server.endpoint.ip), server.endpoint.port},
                                task.yield[failed]);
      REQUIRE_FALSE(failed);
    }
    const auto answer = server.Post(task, 10);
    REQUIRE(answer);
    CHECK(answer->Status() == 200);
    CHECK(server.server->Connections() <= 3);
    CHECK(server.server->ClosedForLimit() >= 7);
  });
}

}  // namespace
}  // namespace anvilcroft
