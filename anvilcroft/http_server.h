#ifndef ANVILCROFT_HTTP_SERVER_H_
#define ANVILCROFT_HTTP_SERVER_H_

// An HTTP/1.1 server with bounded input: one task for each connection.
//
//   HttpServer server = HttpServer::Builder(runtime)
//       .SetAddress("127.0.0.1:8080")
//       .SetHandler([](Task& task, const HttpRequest& request, HttpReply& reply) {
//         reply.Send(task, JsonResponse(200, "{}"));
//       })
//       .Build();
//   Result<std::string> address = server->Start();
//
// The handler runs in the connection's task and answers once: with Send, or with BeginStream,
// Write and End. A handler that returns without an answer gives the caller a 500.
//
// Limits (header block, body, time to read a request) are enforced before the handler runs; input
// beyond a limit is answered with 400, 413 or 431 and the connection is closed.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/cancellation.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_request.h"
#include "anvilcroft/http_response.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

// The answer to one request. Used only inside the handler it was given to.
class HttpReply {
 public:
  virtual ~HttpReply() = default;

  // Sends a whole response. Fails with kConnectionLost if the caller is gone.
  virtual Result<void> Send(Task& task, const HttpResponse& response) = 0;

  // Sends the status and headers of a chunked response; its body follows in Write calls.
  virtual Result<void> BeginStream(Task& task, int status, const HttpHeaders& headers) = 0;

  // Sends one chunk at once. Fails with kConnectionLost if the caller is gone or does not read
  // for the write time limit.
  virtual Result<void> Write(Task& task, const std::string& chunk) = 0;

  // Ends a chunked response.
  virtual Result<void> End(Task& task) = 0;

  // Ends the connection without completing the response, so that the caller can tell a broken
  // stream from a whole one.
  virtual void Abort() = 0;

  // Cancelled when the caller closes its connection while the handler runs.
  virtual std::shared_ptr<Cancellation> CallerDisconnected() = 0;
};

using HttpHandler = std::function<void(Task&, const HttpRequest&, HttpReply&)>;

class HttpServer {
 public:
  class Builder;

  virtual ~HttpServer() = default;

  // Binds and starts accepting. Returns the bound address "ip:port" (port chosen by the system if
  // 0 was asked for). Fails with kInvalidArgument on a malformed or unavailable address.
  virtual Result<std::string> Start() = 0;

  // Closes the listener. Connections that are open go on; each is closed after the request it is
  // serving, and idle ones at once.
  virtual void StopAccepting() = 0;

  // From now on answers each request with "Connection: close", so that callers leave.
  virtual void CloseAfterResponse() = 0;

  // Limits of requests and connections from now on; see the builder.
  virtual void SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                         Duration read_timeout, Duration idle_timeout) = 0;

  // Number of requests whose handler is running.
  virtual std::size_t ActiveRequests() const = 0;
};

class HttpServer::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  // "ip:port"; port 0 lets the system choose.
  Builder& SetAddress(std::string address);
  Builder& SetHandler(HttpHandler handler);
  // Largest body, bytes. Default 1 MiB.
  Builder& SetMaxBodyBytes(std::size_t bytes);
  // Largest header block, bytes. Default 16 KiB.
  Builder& SetMaxHeaderBytes(std::size_t bytes);
  // Time to read one request once its first byte has come. Default 10 s.
  Builder& SetReadTimeout(Duration timeout);
  // Time that one write may take. Default 30 s.
  Builder& SetWriteTimeout(Duration timeout);
  // Time that a connection may stay open without a request. Default 60 s.
  Builder& SetIdleTimeout(Duration timeout);
  // Most connections open at once; more are closed on arrival. Default 4,096.
  Builder& SetMaxConnections(std::size_t connections);

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
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_SERVER_H_
