#ifndef ANVILCROFT_HTTP_CLIENT_H_
#define ANVILCROFT_HTTP_CLIENT_H_

// An HTTP/1.1 client with a pool of idle connections for each endpoint.
//
//   Result<HttpResponse> response =
//       client.Call(task, endpoint, request, CallOptions(now + seconds(2)));
//
// Errors: kConnectFailed (no connection could be made: the request did not run, ran = no),
// kConnectionLost and kDeadlineExceeded (ran = unknown once a byte may have left), kBadResponse
// (malformed or too large, ran = unknown), kCancelled. An HTTP status of any value is a response,
// not an error. A connection on which a call failed in any way is closed, never used again.

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

// A response whose body is read as it arrives. Destroying it before the end closes the connection.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  virtual int Status() const = 0;
  virtual const HttpHeaders& Headers() const = 0;

  // Waits for more of the body. Returns nullopt at its end. Fails as HttpClient::Call does; a body
  // that ends early is kConnectionLost.
  virtual Result<std::optional<std::string>> Read(Task& task) = 0;
};

class HttpClient {
 public:
  // Largest response body that Call accepts, bytes.
  static constexpr std::size_t kMaxResponseBytes = 16 << 20;
  // Idle connections kept for one endpoint, and how long.
  static constexpr std::size_t kMaxIdlePerEndpoint = 16;
  static constexpr Duration kMaxIdleTime = seconds(20);
  // Time to make a connection. A new connection over a link of a few milliseconds that takes
  // longer than this has lost several SYNs.
  static constexpr Duration kConnectTimeout = milliseconds(1500);

  explicit HttpClient(Runtime& runtime);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `request` and reads the whole response.
  Result<HttpResponse> Call(Task& task, const Endpoint& endpoint, const HttpRequest& request,
                            const CallOptions& options);

  // Sends `request` and returns once the response's headers have come.
  Result<std::unique_ptr<HttpStream>> OpenStream(Task& task, const Endpoint& endpoint,
                                                 const HttpRequest& request,
                                                 const CallOptions& options);

  // Closes the idle connections to `endpoint`.
  void CloseIdleConnections(const Endpoint& endpoint);

  // Bytes of HTTP messages written and read so far, without those of TCP and IP.
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_CLIENT_H_
