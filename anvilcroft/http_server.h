#ifndef ANVILCROFT_HTTP_SERVER_H_
#define ANVILCROFT_HTTP_SERVER_H_

// An HTTP/1.1 server that limits the size and the read time of requests. Each connection is served
// by one task.
//
//   HttpServer server = HttpServer::Builder(runtime)
//       .SetAddress("127.0.0.1:8080")
//       .SetHandler([](Task& task, const HttpRequest& request, HttpReply& reply) {
//         reply.Send(task, JsonResponse(200, "{}"));
//       })
//       .Build();
//   Result<std::string> address = server->Start();
//
// The handler runs in the connection's task and sends one response: with Send, or with BeginStream,
// Write and End. If it returns without a response, the server sends a 500.
//
// The limits are enforced before the handler runs. A malformed request is answered with 400, a body
// that is too large with 413 and a header block that is too large with 431; then the connection is
// closed. A request that is not read in time is not answered. What a connection and its request
// hold is charged to a memory budget; without memory for its body, a request is answered with 503
// before the body is read.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/cancellation.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_request.h"
#include "anvilcroft/http_response.h"
#include "anvilcroft/limits/memory_budget.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

// Sends the response to one request. Valid only until the handler that received it returns.
class HttpReply {
 public:
  virtual ~HttpReply() = default;

  // Sends a whole response. Fails with kConnectionLost if the caller has disconnected.
  virtual Result<void> Send(Task& task, const HttpResponse& response) = 0;

  // Sends the status and headers of a chunked response. The body is sent by calls of Write.
  virtual Result<void> BeginStream(Task& task, int status, const HttpHeaders& headers) = 0;

  // Sends one chunk without buffering. Fails with kConnectionLost if the caller has disconnected or
  // does not read the chunk within the write timeout.
  virtual Result<void> Write(Task& task, const std::string& chunk) = 0;

  // Ends a chunked response.
  virtual Result<void> End(Task& task) = 0;

  // Closes the connection without completing the response, so that the caller can tell a truncated
  // stream from a complete one.
  virtual void Abort() = 0;

  // Returns a Cancellation that is cancelled when the caller closes its connection while the
  // handler runs.
  virtual std::shared_ptr<Cancellation> CallerDisconnected() = 0;
};

using HttpHandler = std::function<void(Task&, const HttpRequest&, HttpReply&)>;

class HttpServer {
 public:
  class Builder;

  virtual ~HttpServer() = default;

  // Binds the address and starts accepting connections. Returns the bound address as "ip:port",
  // with the port that the system chose if port 0 was requested. Fails with kInvalidArgument if the
  // address is malformed or unavailable.
  virtual Result<std::string> Start() = 0;

  // Closes the listener and all idle connections. A connection whose request is being read or
  // served is closed after the response. One that has not sent its first request gets a second for
  // it.
  virtual void StopAccepting() = 0;

  // From now on sends "Connection: close" with each response, so that callers close their
  // connections.
  virtual void CloseAfterResponse() = 0;

  // Changes the limits for requests and idle connections from now on; see the builder.
  virtual void SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                         Duration read_timeout, Duration idle_timeout) = 0;

  // Number of requests whose handler is running.
  virtual std::size_t ActiveRequests() const = 0;

  // Most connections from now on; see the builder.
  virtual void SetMaxConnections(std::size_t connections) = 0;

  // Number of connections that were closed, or not accepted, because there were too many.
  virtual std::size_t ClosedForLimit() const = 0;

  // Number of open connections. After StopAccepting, the server is done once there are none.
  virtual std::size_t Connections() const = 0;
};

class HttpServer::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  // "ip:port"; port 0 lets the system choose.
  Builder& SetAddress(std::string address);
  Builder& SetHandler(HttpHandler handler);
  // Largest body, in bytes. Default 1 MiB.
  Builder& SetMaxBodyBytes(std::size_t bytes);
  // Largest header block, in bytes. Default 16 KiB.
  Builder& SetMaxHeaderBytes(std::size_t bytes);
  // Limit for reading one request, from its first byte on. Default 10 s.
  Builder& SetReadTimeout(Duration timeout);
  // Limit for one write. Default 30 s.
  Builder& SetWriteTimeout(Duration timeout);
  // Longest time that a connection may be idle. Default 60 s.
  Builder& SetIdleTimeout(Duration timeout);
  // Most connections open at once. A further one replaces the one that has been idle longest, or
  // the oldest whose request does not arrive; if there is neither, it is closed. Default 4,096.
  Builder& SetMaxConnections(std::size_t connections);
  // The budget for what clients make the server hold, and the pool for connections. Default: no
  // limit.
  Builder& SetBudget(std::shared_ptr<MemoryBudget> budget, MemoryPool pool);

  std::unique_ptr<HttpServer> Build();

 private:
  friend class HttpServerImpl;

  Runtime& runtime;
  std::string address = "127.0.0.1:0";
  HttpHandler handler;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 16 << 10;
  Duration read_timeout = seconds(10);
  Duration write_timeout = seconds(30);
  Duration idle_timeout = seconds(60);
  std::size_t max_connections = 4096;
  std::shared_ptr<MemoryBudget> budget = MemoryBudget::Unlimited();
  MemoryPool pool = MemoryPool::kCallers;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_SERVER_H_
