#include "anvilcroft/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/http_beast.h"
#include "anvilcroft/limits/request_reader.h"
#include "anvilcroft/log.h"
#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr char kPart[] = "http";
// Time in which a stopping server waits for the first request of a connection that it has accepted.
// Callers send it right after they have connected.
constexpr Duration kFirstRequestTime = seconds(1);
// Limits for input that is discarded before a connection is closed.
constexpr Duration kDiscardTime = seconds(1);
constexpr std::size_t kMaxDiscardedBytes = 4 << 20;
// Retry-After of a request that was refused for lack of memory, in seconds. Within this time,
// clients that make no progress are disconnected for others.
constexpr char kMemoryRetryAfter[] = "1";

// One open connection and the response to the request that it is serving.
class Session : public HttpReply, public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, Duration write_timeout)
      : stream(std::move(socket)), write_timeout(write_timeout) {}

  // Resets the response state for the next request.
  void BeginRequest(bool keep_alive_wanted, bool head_only_wanted = false) {
    this->answered = false;
    this->head_only = head_only_wanted;
    this->streaming = false;
    this->keep_alive = keep_alive_wanted && !this->closing;
    this->disconnected = nullptr;
  }

  std::shared_ptr<Cancellation> CallerDisconnected() override {
    if (!this->disconnected) {
      this->disconnected = std::make_shared<Cancellation>();
      this->WatchForDisconnect(this->disconnected);
    }
    return this->disconnected;
  }

  Result<void> Send(Task& task, const HttpResponse& response) override {
    ANVILCROFT_CHECK(!this->answered);
    this->answered = true;
    const auto charge =
        this->ChargeOutput(response.Content().Charged() ? 0 : response.Body().size());
    if (!charge) return tl::unexpected<Error>(charge.error());
    auto message = ToBeast(response, this->keep_alive && !this->closing);
    this->keep_alive = message.keep_alive();
    error_code failed;
    this->stream.expires_after(this->write_timeout);
    if (this->head_only) {
      // The caller would read a body after the response to HEAD as the next response.
      http::response_serializer<BorrowedBody> serializer(message);
      http::async_write_header(this->stream, serializer, task.yield[failed]);
    } else {
      http::async_write(this->stream, message, task.yield[failed]);
    }
    return this->CheckWrite(failed);
  }

  Result<void> BeginStream(Task& task, int status, const HttpHeaders& headers) override {
    ANVILCROFT_CHECK(!this->answered);
    this->answered = true;
    this->streaming = true;
    http::response<http::empty_body> message;
    message.result(static_cast<unsigned>(status));
    message.version(11);
    for (const auto& [name, value] : headers.Fields()) message.set(name, value);
    message.keep_alive(this->keep_alive && !this->closing);
    this->keep_alive = message.keep_alive();
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    error_code failed;
    this->stream.expires_after(this->write_timeout);
    http::async_write_header(this->stream, serializer, task.yield[failed]);
    return this->CheckWrite(failed);
  }

  Result<void> Write(Task& task, const std::string& chunk) override {
    if (chunk.empty()) return {};  // an empty chunk would end the body
    const auto charge = this->ChargeOutput(chunk.size());
    if (!charge) return tl::unexpected<Error>(charge.error());
    error_code failed;
    this->stream.expires_after(this->write_timeout);
    asio::async_write(this->stream, http::make_chunk(asio::buffer(chunk)), task.yield[failed]);
    return this->CheckWrite(failed);
  }

  Result<void> End(Task& task) override {
    error_code failed;
    this->streaming = false;
    this->stream.expires_after(this->write_timeout);
    asio::async_write(this->stream, http::make_chunk_last(), task.yield[failed]);
    return this->CheckWrite(failed);
  }

  void Abort() override {
    this->answered = true;
    this->streaming = false;
    this->keep_alive = false;
    this->stream.close();
  }

  void Close() {
    error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->stream.close();
  }

  // Ends the output and discards input until the caller closes the connection, within limits.
  // Closing a socket with unread input resets the connection, and the caller could lose the
  // response.
  void DiscardInput(Task& task) {
    error_code failed;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    this->stream.expires_after(kDiscardTime);
    std::size_t budget = kMaxDiscardedBytes;
    char discarded[4096];
    while (!failed && budget > sizeof discarded) {
      budget -= this->stream.async_read_some(asio::buffer(discarded), task.yield[failed]);
    }
  }

  // Whether bytes have arrived that have not been read from the socket.
  bool HasUnreadInput() {
    char byte = 0;
    return ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::shared_ptr<MemoryBudget> budget;
  std::shared_ptr<MemoryCharge> memory;   // of the connection
  TimePoint waiting_since = SteadyNow();  // for a request, or for the rest of it
  bool serving = false;                   // the handler is running
  bool answered = false;
  bool streaming = false;
  bool head_only = false;  // the request is a HEAD
  bool keep_alive = true;
  bool busy = false;     // a request is being read or served
  bool served = false;   // a request has been served
  bool closing = false;  // close the connection after the current response

 private:
  // Charges output that nothing else accounts for, so that slow readers do not make the process
  // keep much of it. Closes the connection if there is no memory.
  Result<std::shared_ptr<MemoryCharge>> ChargeOutput(std::size_t bytes) {
    if (bytes <= kSmallBodyBytes) return std::shared_ptr<MemoryCharge>();
    auto charge = this->budget->Open(MemoryPool::kLarge);
    if (charge->Resize(bytes, SteadyNow())) return charge;
    LogWarning(kPart, "there is no memory for a response", {{"bytes", std::to_string(bytes)}});
    this->Abort();
    return Fail(ErrorCode::kOverloaded, "there is no memory for the response");
  }

  Result<void> CheckWrite(const error_code& failed) {
    if (!failed) return {};
    this->keep_alive = false;
    this->stream.close();
    return Fail(ErrorCode::kConnectionLost, failed.message(), "", Ran::kUnknown);
  }

  // Cancels `cancellation` when the caller closes the connection. Bytes that arrive are a pipelined
  // request; after them, a disconnect is no longer detected.
  void WatchForDisconnect(const std::shared_ptr<Cancellation>& cancellation) {
    const std::weak_ptr<Session> weak = this->shared_from_this();
    this->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [weak, cancellation](const error_code& failed) {
          const auto session = weak.lock();
          if (failed || !session || session->disconnected != cancellation) return;
          char byte = 0;
          const auto received =
              ::recv(session->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
          const bool open = received > 0 || (received < 0 && errno == EAGAIN);
          if (!open) cancellation->Cancel();
        });
  }

  Duration write_timeout;
  std::shared_ptr<Cancellation> disconnected;
};

}  // namespace

class HttpServerImpl : public HttpServer {
 public:
  HttpServerImpl(Runtime& runtime, HttpServer::Builder builder)
      : runtime(runtime), options(std::move(builder)), acceptor(runtime.Impl().io) {}

  Result<std::string> Start() override {
    const auto parsed = ParseEndpoint(this->options.address);
    if (!parsed) return tl::unexpected<Error>(parsed.error());
    const asio::ip::tcp::endpoint local(asio::ip::make_address(parsed->ip), parsed->port);
    error_code failed;
    this->acceptor.open(local.protocol(), failed);
    if (!failed) this->acceptor.set_option(asio::socket_base::reuse_address(true), failed);
    if (!failed) this->acceptor.bind(local, failed);
    if (!failed) this->acceptor.listen(asio::socket_base::max_listen_connections, failed);
    if (failed) {
      return Fail(ErrorCode::kInvalidArgument, "cannot listen: " + failed.message(),
                  this->options.address);
    }
    this->runtime.SpawnService("accept connections",
                               [this](Task& task) { this->AcceptLoop(task); });
    return Endpoint{parsed->ip, this->acceptor.local_endpoint().port()}.ToString();
  }

  void StopAccepting() override {
    if (!this->acceptor.is_open()) return;
    this->AcceptPending();
    error_code ignored;
    this->acceptor.close(ignored);
    this->CloseAfterResponse();
    // A request that has arrived, or that is the first one of its connection, is still served.
    std::vector<std::weak_ptr<Session>> waiting;
    const auto open = *this->sessions;
    for (const auto& session : open) {
      if (session->busy || session->HasUnreadInput()) continue;
      if (session->served) {
        session->Close();
      } else {
        waiting.push_back(session);
      }
    }
    this->runtime.Spawn([waiting](Task& task) {
      SleepUntil(task, SteadyNow() + kFirstRequestTime);
      for (const auto& weak : waiting) {
        const auto session = weak.lock();
        if (session && !session->busy && !session->HasUnreadInput()) session->Close();
      }
    });
  }

  void CloseAfterResponse() override {
    this->closing = true;
    for (const auto& session : *this->sessions) session->closing = true;
  }

  void SetMaxConnections(std::size_t connections) override {
    this->options.max_connections = connections;
  }

  std::size_t ClosedForLimit() const override { return this->closed_for_limit; }

  void SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes, Duration read_timeout,
                 Duration idle_timeout) override {
    this->options.max_header_bytes = max_header_bytes;
    this->options.max_body_bytes = max_body_bytes;
    this->options.read_timeout = read_timeout;
    this->options.idle_timeout = idle_timeout;
  }

  std::size_t ActiveRequests() const override { return *this->active; }
  std::size_t Connections() const override { return this->sessions->size(); }

 private:
  void AcceptLoop(Task& task) {
    while (this->acceptor.is_open()) {
      asio::ip::tcp::socket socket(this->runtime.Impl().io);
      error_code failed;
      this->acceptor.async_accept(socket, task.yield[failed]);
      if (failed == asio::error::operation_aborted) return;
      if (failed) {
        // Probably out of file descriptors. Waits for some to be closed instead of spinning.
        SleepUntil(task, SteadyNow() + milliseconds(20));
        continue;
      }
      this->StartSession(std::move(socket));
    }
  }

  // Accepts the connections in the listen queue; closing the listener would reset them.
  void AcceptPending() {
    error_code failed;
    this->acceptor.non_blocking(true, failed);
    while (!failed) {
      asio::ip::tcp::socket socket(this->runtime.Impl().io);
      this->acceptor.accept(socket, failed);
      if (!failed) this->StartSession(std::move(socket));
    }
  }

  void StartSession(asio::ip::tcp::socket socket) {
    if (this->sessions->size() >= this->options.max_connections) {
      ++this->closed_for_limit;
      const auto other = this->ReplaceableSession();
      LogWarning(kPart, "connection limit reached",
                 {{"limit", std::to_string(this->options.max_connections)},
                  {"closed", other ? "the longest waiting connection" : "the new connection"}});
      if (!other) return;
      other->stream.close();
      this->sessions->erase(other);
    }
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(std::move(socket), this->options.write_timeout);
    session->closing = this->closing;
    session->budget = this->options.budget;
    const std::weak_ptr<Session> weak = session;
    session->memory = this->options.budget->Open(this->options.pool, [weak] {
      if (const auto open = weak.lock()) open->stream.close();
    });
    if (!session->memory->Resize(RequestReader::kConnectionBytes, SteadyNow())) {
      ++this->closed_for_limit;
      LogWarning(kPart, "no memory for a connection; closing the new one");
      return;
    }
    this->sessions->insert(session);
    this->runtime.Spawn([this, session](Task& task) {
      // Also runs when the task is unwound, possibly after the end of this server.
      const std::shared_ptr<void> open(nullptr, [all = this->sessions, session](void*) {
        session->Close();
        all->erase(session);
      });
      while (this->ServeRequest(task, *session)) {
      }
    });
  }

  // The connection that a new one replaces: an idle one, else one whose request does not arrive.
  // Null: there is none.
  std::shared_ptr<Session> ReplaceableSession() const {
    std::shared_ptr<Session> chosen;
    const TimePoint stalled = SteadyNow() - kStallTime;
    for (const auto& session : *this->sessions) {
      if (session->serving || (session->busy && session->waiting_since > stalled)) continue;
      if (chosen && session->busy && !chosen->busy) continue;
      const bool better = !chosen || (chosen->busy && !session->busy) ||
                          session->waiting_since < chosen->waiting_since;
      if (better) chosen = session;
    }
    return chosen;
  }

  // Reads and serves one request. Returns false if the connection must be closed.
  bool ServeRequest(Task& task, Session& session) {
    error_code failed;
    session.waiting_since = SteadyNow();
    session.memory->SetIncomplete(session.waiting_since);
    if (session.buffer.size() == 0) {
      if (session.buffer.capacity() > RequestReader::kReadBytes) session.buffer.shrink_to_fit();
      session.memory->Resize(RequestReader::kConnectionBytes, SteadyNow());
      session.stream.expires_after(this->options.idle_timeout);
      const std::size_t read = session.stream.async_read_some(
          session.buffer.prepare(RequestReader::kReadBytes), task.yield[failed]);
      if (failed) return false;
      session.buffer.commit(read);
    }
    session.busy = true;
    session.waiting_since = SteadyNow();
    session.memory->SetIncomplete(session.waiting_since);
    const std::weak_ptr<Session> weak = session.shared_from_this();
    const auto open_body = [this, weak](MemoryPool pool) {
      return this->options.budget->Open(pool, [weak] {
        if (const auto open = weak.lock()) open->stream.close();
      });
    };
    const RequestReader::Limits limits = {this->options.max_header_bytes,
                                          this->options.max_body_bytes, this->options.read_timeout};
    // Its buffers are freed before the handler runs.
    std::optional<RequestReader> reader(std::in_place, session.stream, session.buffer,
                                        *session.memory, open_body, limits);
    const RequestReader::Outcome outcome = reader->Read(task);
    if (outcome != RequestReader::Outcome::kComplete) {
      failed = reader->Error();
      reader.reset();
      if (outcome == RequestReader::Outcome::kMalformed) {
        this->RejectRequest(task, session, failed);
      } else if (outcome == RequestReader::Outcome::kRefused) {
        this->RefuseRequest(task, session);
      }
      return false;
    }
    const bool keep_alive = reader->KeepAlive();
    session.BeginRequest(keep_alive, reader->HeadOnly());
    const HttpRequest request = reader->TakeRequest();
    reader.reset();
    // The handler may run for many minutes (a long stream), so only its writes have a time limit.
    session.stream.expires_never();
    {
      ++*this->active;
      session.serving = true;
      const std::shared_ptr<void> counted(nullptr, [count = this->active, weak](void*) {
        --*count;
        if (const auto open = weak.lock()) open->serving = false;
      });
      try {
        this->options.handler(task, request, session);
      } catch (const std::exception& error) {
        LogError(kPart, "an unexpected exception ended the handler of a request",
                 {{"target", request.Path()}, {"exception", error.what()}});
        session.keep_alive = false;
      }
    }
    if (!session.answered) {
      session.Send(task, ErrorResponse(Error{ErrorCode::kInternal, "the handler sent no response",
                                             "", Ran::kUnknown}));
    }
    if (session.streaming) return false;  // without End, the caller must see a truncated body
    session.served = true;
    if (session.keep_alive && !session.closing) {
      session.busy = session.buffer.size() > 0;
      return true;
    }
    // A caller that did not ask to close the connection may have sent another request.
    if (keep_alive && session.stream.socket().is_open()) session.DiscardInput(task);
    return false;
  }

  // Answers a request for whose body there is no memory. It has not run.
  void RefuseRequest(Task& task, Session& session) {
    LogWarning(kPart, "a request is refused for lack of memory");
    session.BeginRequest(false);
    const HttpResponse response = ErrorResponse(
        Error{ErrorCode::kOverloaded, "there is no memory for the request", "memory", Ran::kNo});
    session.Send(task, HttpResponse::Builder()
                           .SetStatus(503)
                           .SetHeaders(response.Headers())
                           .SetHeader("Retry-After", kMemoryRetryAfter)
                           .SetBody(response.Content())
                           .Build());
    session.DiscardInput(task);
  }

  void RejectRequest(Task& task, Session& session, const error_code& failed) {
    Error error{ErrorCode::kInvalidArgument, "malformed HTTP request: " + failed.message(), "",
                Ran::kNo};
    int status = 400;
    if (failed == http::error::body_limit) {
      error = Error{ErrorCode::kTooLarge, "the body is too large", "body", Ran::kNo};
      status = 413;
    } else if (failed == http::error::header_limit) {
      error = Error{ErrorCode::kTooLarge, "the header block is too large", "header", Ran::kNo};
      status = 431;
    } else if (failed.category() != http::make_error_code(http::error::bad_value).category() ||
               failed == http::error::end_of_stream || failed == http::error::partial_message) {
      return;  // no response can be sent
    }
    session.BeginRequest(false);
    const HttpResponse response = ErrorResponse(error);
    session.Send(task, HttpResponse::Builder()
                           .SetStatus(status)
                           .SetHeaders(response.Headers())
                           .SetBody(response.Body())
                           .Build());
    session.DiscardInput(task);
  }

  Runtime& runtime;
  HttpServer::Builder options;
  asio::ip::tcp::acceptor acceptor;
  // Shared with the tasks of the sessions.
  std::shared_ptr<std::set<std::shared_ptr<Session>>> sessions =
      std::make_shared<std::set<std::shared_ptr<Session>>>();
  std::shared_ptr<std::size_t> active = std::make_shared<std::size_t>(0);
  bool closing = false;
  std::size_t closed_for_limit = 0;
};

std::unique_ptr<HttpServer> HttpServer::Builder::Build() {
  return std::make_unique<HttpServerImpl>(this->runtime, *this);
}

}  // namespace anvilcroft
