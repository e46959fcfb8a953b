#ifndef ANVILCROFT_HTTP_CLIENT_H_
#define ANVILCROFT_HTTP_CLIENT_H_

// An HTTP/1.1 client with a pool of idle connections for each endpoint.
//
//   Result<HttpResponse> response =
//       client.Call(task, endpoint, request, CallOptions(now + seconds(2)));
//
// Errors:
//   kConnectFailed      no connection was established, also if it was cancelled meanwhile; ran = no
//   kConnectionLost     the connection failed after it was established; ran = unknown
//   kDeadlineExceeded   the deadline or the progress timeout expired; ran = unknown
//   kBadResponse        the response is malformed, has no valid status, is too large or belongs to
//                       another request; ran = unknown
//   kCancelled          the call was cancelled or its send guard refused the request; ran = no
//                       before the request is sent, unknown afterwards
// A response with any HTTP status is a success. The connection of a failed call is closed and never
// reused, unless the send guard refused the request before anything was sent.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/call_options.h"
#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_request.h"
#include "anvilcroft/http_response.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

// A response whose body is read as it arrives. Destroying the stream before the end of the body
// closes the connection.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  virtual int Status() const = 0;
  virtual const HttpHeaders& Headers() const = 0;
  // Whether the connection was opened for this request.
  virtual bool NewConnection() const = 0;
  // Whether the response tells where its body ends, by a length or chunks. Otherwise the body ends
  // with the connection, also if the peer has ended in the middle of it.
  virtual bool EndIsMarked() const = 0;

  // Waits for the next part of the body and returns it, or nullopt at the end of the body. Fails as
  // HttpClient::Call does, with kConnectionLost for a truncated body. The progress timeout applies
  // to each call.
  Result<std::optional<std::string>> Read(Task& task) { return this->Read(task, TimePoint::max()); }

  // Like Read, but fails with kDeadlineExceeded at `limit` at the latest. A reader whose messages
  // span several parts sets the limit for a whole message, because a peer that stalls may still
  // send a byte now and then.
  virtual Result<std::optional<std::string>> Read(Task& task, TimePoint limit) = 0;
};

class HttpClient {
 public:
  // Largest response body that Call accepts, and largest Content-Length of any response, in bytes.
  static constexpr std::size_t kMaxResponseBytes = 16 << 20;
  // Largest header block of a response, in bytes, and most interim (1xx) responses before it.
  static constexpr std::size_t kMaxHeaderBytes = 16 << 10;
  static constexpr int kMaxInterimResponses = 8;
  // Most late duplicates of earlier responses that are skipped before the response to a request.
  static constexpr int kMaxSkippedResponses = 2;
  // A connection is not used again after this many requests with an id
  // (CallOptions::WithRequestId), all of which it remembers.
  static constexpr std::size_t kMaxRequestIds = 1000;
  // Most idle connections in the pool of one endpoint, and the longest time each stays there.
  static constexpr std::size_t kMaxIdlePerEndpoint = 16;
  static constexpr Duration kMaxIdleTime = seconds(20);
  // Limit for establishing a connection. On a link with a latency of a few milliseconds, a
  // connection that takes longer has lost several SYN packets.
  static constexpr Duration kConnectTimeout = milliseconds(1500);

  explicit HttpClient(Runtime& runtime);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `request` and reads the whole response.
  Result<HttpResponse> Call(Task& task, const Endpoint& endpoint, const HttpRequest& request,
                            const CallOptions& options);

  // Sends `request` and returns once the response headers have been received.
  Result<std::unique_ptr<HttpStream>> OpenStream(Task& task, const Endpoint& endpoint,
                                                 const HttpRequest& request,
                                                 const CallOptions& options);

  // Closes the idle connections to `endpoint`.
  void CloseIdleConnections(const Endpoint& endpoint);

  // Bytes of HTTP messages sent and received so far, without TCP and IP overhead.
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_CLIENT_H_
