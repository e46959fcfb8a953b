#include "anvilcroft/http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "anvilcroft/hash.h"
#include "anvilcroft/http_beast.h"
#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// Input that the client buffers on a connection: a header block, or what a read has taken of a
// body. Also bounds a chunk header and a trailer, whose length nothing else limits.
constexpr std::size_t kMaxBufferedBytes = 128 << 10;
// A late duplicate that is larger is not skipped; the connection is closed instead.
constexpr std::size_t kMaxSkippedBytes = 256 << 10;
// Statuses of final responses (RFC 9110, section 15).
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

// Bytes sent and received on all connections of one client.
struct Traffic {
  uint64_t sent = 0;
  uint64_t received = 0;
};

struct Connection {
  Connection(asio::io_context& io, std::shared_ptr<Traffic> traffic)
      : stream(io), traffic(std::move(traffic)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  std::shared_ptr<Traffic> traffic;
  TimePoint idle_since;
  // How long the connection may be idle before it must not be reused.
  Duration idle_limit = HttpClient::kMaxIdleTime;
  bool reused = false;
  std::vector<uint64_t> request_ids;  // hashes of the ids that it has carried
  // A response was received that belongs to another request. Further ones may follow, so the
  // connection must not be reused.
  bool out_of_step = false;

  bool Carried(uint64_t id) const {
    return std::find(this->request_ids.begin(), this->request_ids.end(), id) !=
           this->request_ids.end();
  }
};

// The error for a read or write that failed after part of the request may have been sent.
tl::unexpected<Error> TransferError(const error_code& failed, const CallOptions& options) {
  if (options.CancellationToken() && options.CancellationToken()->Cancelled()) {
    return Fail(ErrorCode::kCancelled, "the call was cancelled", "", Ran::kUnknown);
  }
  if (failed == beast::error::timeout) {
    return Fail(ErrorCode::kDeadlineExceeded, "the response did not arrive in time", "",
                Ran::kUnknown);
  }
  if (failed.category() == http::make_error_code(http::error::bad_value).category() &&
      failed != http::error::end_of_stream && failed != http::error::partial_message) {
    return Fail(ErrorCode::kBadResponse, failed.message(), "", Ran::kUnknown);
  }
  return Fail(ErrorCode::kConnectionLost, failed.message(), "", Ran::kUnknown);
}

// How long a connection may be idle and still be reused: the timeout of the server's Keep-Alive
// header, less a margin, so that a request is not sent while the server closes the connection.
Duration IdleLimit(const HttpHeaders& headers) {
  constexpr std::string_view kName = "timeout=";
  constexpr Duration kMargin = milliseconds(250);  // a few round trips between zones
  const std::string_view field = headers.Find("Keep-Alive");
  const std::size_t at = field.find(kName);
  if (at == std::string_view::npos) return HttpClient::kMaxIdleTime;
  int64_t limit_s = 0;
  const char* begin = field.data() + at + kName.size();
  const auto parsed = std::from_chars(begin, field.data() + field.size(), limit_s);
  if (parsed.ec != std::errc() || limit_s < 0 || limit_s > 3600) return HttpClient::kMaxIdleTime;
  return std::min<Duration>(HttpClient::kMaxIdleTime, seconds(limit_s) - kMargin);
}

// The announced length of a body; 0: none.
std::size_t LengthOf(const HttpHeaders& headers) {
  const std::string_view field = headers.Find("Content-Length");
  std::size_t length = 0;
  std::from_chars(field.data(), field.data() + field.size(), length);
  return length;
}

std::shared_ptr<void> CloseOnCancel(const CallOptions& options,
                                    const std::shared_ptr<Connection>& connection) {
  if (!options.CancellationToken()) return nullptr;
  const std::weak_ptr<Connection> weak = connection;
  return options.CancellationToken()->OnCancel([weak] {
    if (const auto open = weak.lock()) open->stream.close();
  });
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(Runtime& runtime) : io(runtime.Impl().io) {}

  // Returns a usable idle connection from the pool that has not carried the request's id, or a new
  // connection.
  Result<std::shared_ptr<Connection>> Acquire(Task& task, const Endpoint& endpoint,
                                              const CallOptions& options) {
    auto& idle = this->pool[endpoint];
    const TimePoint now = SteadyNow();
    const uint64_t id = StableHash(options.RequestId());
    for (std::size_t i = idle.size(); i-- > 0 && !options.FreshConnection();) {
      if (!options.RequestId().empty() && idle[i]->Carried(id)) continue;
      std::shared_ptr<Connection> connection = std::move(idle[i]);
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
      if (now - connection->idle_since < connection->idle_limit && IsReusable(*connection)) {
        connection->reused = true;
        return connection;
      }
    }
    return this->Connect(task, endpoint, options);
  }

  void Release(const Endpoint& endpoint, std::shared_ptr<Connection> connection) {
    auto& idle = this->pool[endpoint];
    if (idle.size() >= kMaxIdlePerEndpoint) return;
    if (connection->request_ids.size() >= kMaxRequestIds) return;
    connection->idle_since = SteadyNow();
    connection->stream.expires_never();
    idle.push_back(std::move(connection));
  }

  void CloseIdleConnections(const Endpoint& endpoint) { this->pool.erase(endpoint); }

  const Traffic& TrafficTotals() const { return *this->traffic; }

 private:
  Result<std::shared_ptr<Connection>> Connect(Task& task, const Endpoint& endpoint,
                                              const CallOptions& options) {
    auto connection = std::make_shared<Connection>(this->io, this->traffic);
    const auto cancel = CloseOnCancel(options, connection);
    error_code failed;
    const auto ip = asio::ip::make_address(endpoint.ip, failed);
    if (failed) return Fail(ErrorCode::kConnectFailed, "malformed address", endpoint.ToString());
    const Duration limit = options.ConnectTimeout().value_or(kConnectTimeout);
    connection->stream.expires_at(std::min(options.Deadline(), SteadyNow() + limit));
    connection->stream.async_connect(asio::ip::tcp::endpoint(ip, endpoint.port),
                                     task.yield[failed]);
    if (failed) {
      return Fail(ErrorCode::kConnectFailed, failed.message(), endpoint.ToString());
    }
    auto& socket = connection->stream.socket();
    socket.set_option(asio::ip::tcp::no_delay(true), failed);
    socket.set_option(asio::socket_base::keep_alive(true), failed);
    // Closes a connection whose sent bytes are not acknowledged, as happens when a middlebox has
    // dropped its state for the connection.
    const int user_timeout_ms = 10000;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
                 sizeof user_timeout_ms);
    return connection;
  }

  // Whether an idle connection is still open and has no unread bytes. Unread bytes belong to a late
  // response to an earlier request.
  static bool IsReusable(Connection& connection) {
    char byte = 0;
    const auto received =
        ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
           connection.buffer.size() == 0;
  }

  asio::io_context& io;
  std::map<Endpoint, std::vector<std::shared_ptr<Connection>>> pool;
  std::shared_ptr<Traffic> traffic = std::make_shared<Traffic>();
};

namespace {

class HttpStreamImpl : public HttpStream {
 public:
  using Release = std::function<void(std::shared_ptr<Connection>)>;

  HttpStreamImpl(std::shared_ptr<Connection> connection, const CallOptions& options,
                 Release release)
      : connection(std::move(connection)),
        new_connection(!this->connection->reused),
        options(options),
        release(std::move(release)),
        cancel(CloseOnCancel(this->options, this->connection)) {}

  // Reads the header of the response, without interim responses and skipped ones.
  Result<void> ReadHeader(Task& task) {
    const TimePoint limit = SteadyNow() + this->options.ProgressTimeout();
    int skipped = 0;
    while (true) {
      if (const auto read = this->ReadFinalHeader(task, limit); !read) return read;
      const auto& [name, expected] = this->options.ResponseField();
      if (name.empty() || this->headers.Find(name) == expected) return {};
      // A response without the field may be one that the peer sent before it read the request.
      const bool late = this->connection->reused && !this->headers.Find(name).empty();
      this->connection->out_of_step = true;
      if (!late || ++skipped > HttpClient::kMaxSkippedResponses || !this->SkipBody(task, limit)) {
        return Fail(ErrorCode::kBadResponse, "the response belongs to another request", name,
                    Ran::kUnknown);
      }
    }
  }

  int Status() const override { return this->parser->get().result_int(); }
  const HttpHeaders& Headers() const override { return this->headers; }
  bool NewConnection() const override { return this->new_connection; }
  bool EndIsMarked() const override { return this->end_is_marked; }

  Result<std::optional<std::string>> Read(Task& task, TimePoint limit) override {
    std::string& body = this->parser->get().body();
    while (body.empty() && !this->parser->is_done()) {
      error_code failed;
      this->SetTimeout(std::min(limit, SteadyNow() + this->options.ProgressTimeout()));
      this->connection->traffic->received += http::async_read_some(
          this->connection->stream, this->connection->buffer, *this->parser, task.yield[failed]);
      if (failed) {
        this->connection->stream.close();
        return TransferError(failed, this->options);
      }
    }
    if (!body.empty()) return std::optional<std::string>(std::exchange(body, {}));
    if (this->connection && this->parser->keep_alive() && !this->connection->out_of_step) {
      this->release(std::exchange(this->connection, nullptr));
    }
    return std::optional<std::string>();
  }

 private:
  void SetTimeout(TimePoint limit) {
    this->connection->stream.expires_at(std::min(this->options.Deadline(), limit));
  }

  // Reads the header of the next response that is not an interim one.
  Result<void> ReadFinalHeader(Task& task, TimePoint limit) {
    for (int interim = 0; interim <= HttpClient::kMaxInterimResponses; ++interim) {
      this->parser.emplace();
      // Beast 1.74 treats boost::none (no limit) as a limit of zero if the response has a
      // Content-Length, so the limit is set to the largest value instead.
      this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
      this->parser->header_limit(HttpClient::kMaxHeaderBytes);
      error_code failed;
      this->SetTimeout(limit);
      this->connection->traffic->received += http::async_read_header(
          this->connection->stream, this->connection->buffer, *this->parser, task.yield[failed]);
      if (failed) return TransferError(failed, this->options);
      if (this->Status() / 100 == 1) continue;
      if (this->Status() < kMinFinalStatus || this->Status() > kMaxStatus) {
        return Fail(ErrorCode::kBadResponse, "the status is not one of HTTP",
                    std::to_string(this->Status()), Ran::kUnknown);
      }
      // Beast allocates memory for the announced length before it reads the body.
      const auto length = this->parser->content_length();
      if (length && *length > HttpClient::kMaxResponseBytes) {
        return Fail(ErrorCode::kBadResponse, "the response is too large", "", Ran::kUnknown);
      }
      this->end_is_marked = this->parser->chunked() || length;
      this->headers = FromBeast(this->parser->get());
      this->connection->idle_limit = IdleLimit(this->headers);
      return {};
    }
    return Fail(ErrorCode::kBadResponse, "too many interim responses", "", Ran::kUnknown);
  }

  // Reads the rest of a response that is not delivered. Returns false if it has no known end.
  bool SkipBody(Task& task, TimePoint limit) {
    if (!this->parser->keep_alive()) return false;
    std::size_t size = 0;
    while (!this->parser->is_done()) {
      error_code failed;
      this->SetTimeout(limit);
      this->connection->traffic->received += http::async_read_some(
          this->connection->stream, this->connection->buffer, *this->parser, task.yield[failed]);
      size += std::exchange(this->parser->get().body(), {}).size();
      if (failed || size > kMaxSkippedBytes) return false;
    }
    return true;
  }

  std::shared_ptr<Connection> connection;
  bool new_connection;
  bool end_is_marked = false;
  CallOptions options;
  Release release;
  std::shared_ptr<void> cancel;
  std::optional<http::response_parser<http::string_body>> parser;
  HttpHeaders headers;
};

}  // namespace

HttpClient::HttpClient(Runtime& runtime) : impl(std::make_shared<Impl>(runtime)) {}

HttpClient::~HttpClient() = default;

void HttpClient::CloseIdleConnections(const Endpoint& endpoint) {
  this->impl->CloseIdleConnections(endpoint);
}

uint64_t HttpClient::BytesSent() const { return this->impl->TrafficTotals().sent; }

uint64_t HttpClient::BytesReceived() const { return this->impl->TrafficTotals().received; }

Result<std::unique_ptr<HttpStream>> HttpClient::OpenStream(Task& task, const Endpoint& endpoint,
                                                           const HttpRequest& request,
                                                           const CallOptions& options) {
  if (options.CancellationToken() && options.CancellationToken()->Cancelled()) {
    return Fail(ErrorCode::kCancelled, "the call was cancelled");
  }
  auto acquired = this->impl->Acquire(task, endpoint, options);
  if (!acquired) return tl::unexpected<Error>(acquired.error());
  std::shared_ptr<Connection> connection = std::move(*acquired);
  const bool reused = connection->reused;

  const std::weak_ptr<Impl> weak = this->impl;
  auto stream = std::make_unique<HttpStreamImpl>(
      connection, options, [weak, endpoint](std::shared_ptr<Connection> done) {
        if (const auto open = weak.lock()) open->Release(endpoint, std::move(done));
      });

  if (options.SendGuard() && !options.SendGuard()()) {
    this->impl->Release(endpoint, std::move(connection));
    return Fail(ErrorCode::kCancelled, "the send guard refused the request");
  }
  if (!options.RequestId().empty()) {
    connection->request_ids.push_back(StableHash(options.RequestId()));
  }
  error_code failed;
  const auto message = ToBeast(request, endpoint.ToString());
  connection->stream.expires_at(
      std::min(options.Deadline(), SteadyNow() + options.ProgressTimeout()));
  connection->traffic->sent += http::async_write(connection->stream, message, task.yield[failed]);
  Result<void> header = failed ? TransferError(failed, options) : Result<void>();
  if (header) header = stream->ReadHeader(task);
  if (header) return std::unique_ptr<HttpStream>(std::move(stream));

  if (reused && options.Resend() && header.error().code == ErrorCode::kConnectionLost) {
    return this->OpenStream(task, endpoint, request, options.WithFreshConnection());
  }
  return tl::unexpected<Error>(header.error());
}

Result<HttpResponse> HttpClient::Call(Task& task, const Endpoint& endpoint,
                                      const HttpRequest& request, const CallOptions& options) {
  auto stream = this->OpenStream(task, endpoint, request, options);
  if (!stream) return tl::unexpected<Error>(stream.error());
  const std::size_t max_bytes = options.MaxResponseBytes().value_or(kMaxResponseBytes);
  std::string body;
  const std::size_t length = LengthOf((*stream)->Headers());
  if (length <= max_bytes) body.reserve(length);
  while (true) {
    auto chunk = (*stream)->Read(task);
    if (!chunk) return tl::unexpected<Error>(chunk.error());
    if (!*chunk) break;
    if (body.size() + (*chunk)->size() > max_bytes) {
      return Fail(ErrorCode::kBadResponse, "the response is too large", "", Ran::kUnknown);
    }
    body += **chunk;
  }
  return HttpResponse::Builder()
      .SetStatus((*stream)->Status())
      .SetHeaders((*stream)->Headers())
      .SetBody(std::move(body))
      .Build();
}

}  // namespace anvilcroft
