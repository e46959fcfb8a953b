#include "fakes/fake_link.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <list>
#include <random>
#include <utility>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log.h"
#include "anvilcroft/runtime_impl.h"
#include "fakes/free_address.h"

namespace anvilcroft::fakes {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr std::size_t kChunkBytes = 16 << 10;
// Limit in bytes on the data in flight in one direction of a connection. Beyond it the relay stops
// reading, so that TCP flow control slows the sender down.
constexpr std::size_t kFlowLimit = 1 << 20;
// The minimum TCP retransmission timeout of Linux.
constexpr Duration kRetransmissionDelay = milliseconds(200);

// The data in flight in one direction of a connection.
struct Flow {
  struct Chunk {
    TimePoint due;      // time of delivery
    std::string bytes;  // empty: end of the stream
  };

  std::deque<Chunk> chunks;
  std::size_t bytes = 0;
  TimePoint last_due;
};

// One relayed connection.
struct Relay {
  explicit Relay(asio::io_context& io) : client_socket(io), target_socket(io) {}

  // Closes both sockets with a TCP reset.
  void Reset() {
    if (this->closed) return;
    this->closed = true;
    for (auto* socket : {&this->client_socket, &this->target_socket}) {
      error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    this->changed.NotifyAll();
  }

  asio::ip::tcp::socket client_socket;  // accepted from the client
  asio::ip::tcp::socket target_socket;  // connected to the target
  Flow to_target;
  Flow to_client;
  bool closed = false;
  bool silenced = false;
  Event changed;  // the flows, the flags or the mode of the link changed
};

using RelayPtr = std::shared_ptr<Relay>;

Result<FakeLink::Mode> ParseMode(const std::string& name) {
  if (name == "up") return FakeLink::Mode::kUp;
  if (name == "cut") return FakeLink::Mode::kCut;
  if (name == "silent") return FakeLink::Mode::kSilent;
  if (name == "silent_all") return FakeLink::Mode::kSilentAll;
  if (name == "unreachable") return FakeLink::Mode::kUnreachable;
  if (name == "refuse") return FakeLink::Mode::kRefuse;
  if (name == "refuse_new") return FakeLink::Mode::kRefuseNew;
  return Fail(ErrorCode::kInvalidArgument,
              "must be up, cut, silent, silent_all, unreachable, refuse or refuse_new", "mode");
}

}  // namespace

class FakeLinkImpl : public FakeLink {
 public:
  explicit FakeLinkImpl(const Builder& builder)
      : runtime(builder.runtime),
        listen(builder.listen),
        target(builder.target),
        quality(builder.quality),
        random(builder.seed),
        acceptor(builder.runtime.Impl().io) {
    this->router.Add(
        "POST", "/control/faults",
        [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
          const auto changed = this->ApplyFaults(request.Body());
          reply.Send(task, changed ? JsonResponse(200, "{}") : ErrorResponse(changed.error()));
        });
    this->router.Add("GET", "/control/log",
                     [this](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
                       reply.Send(task, JsonResponse(200, DumpJson(this->ReadLog())));
                     });
    this->control =
        HttpServer::Builder(builder.runtime)
            .SetAddress(builder.control)
            .SetHandler([this](Task& task, const HttpRequest& request, HttpReply& reply) {
              this->router.Handle(task, request, reply);
            })
            .Build();
  }

  Result<std::string> Start() override {
    if (this->listen.empty()) this->listen = FreeAddress();
    const auto parsed = ParseEndpoint(this->listen);
    if (!parsed) return tl::unexpected<Error>(parsed.error());
    this->local = asio::ip::tcp::endpoint(asio::ip::make_address(parsed->ip), parsed->port);
    const error_code failed = this->Listen();
    if (failed) {
      return Fail(ErrorCode::kInvalidArgument, "cannot listen: " + failed.message(), this->listen);
    }
    this->local = this->acceptor.local_endpoint();
    auto bound = this->control->Start();
    if (!bound) return bound;
    this->control_address = *bound;
    return Endpoint{parsed->ip, this->local.port()}.ToString();
  }

  std::string ControlAddress() const override { return this->control_address; }

  void SetMode(Mode value) override {
    if (value != this->mode) this->ChangeListener(value);
    this->mode = value;
    for (const RelayPtr& relay : this->OpenRelays()) {
      if (value == Mode::kCut || value == Mode::kRefuse) relay->Reset();
      if (value == Mode::kSilent) relay->silenced = true;
      relay->changed.NotifyAll();
    }
  }

  void SetQuality(const Quality& value) override { this->quality = value; }

 private:
  static bool Refuses(Mode mode) { return mode == Mode::kRefuse || mode == Mode::kRefuseNew; }

  // Opens the listener and starts to accept connections.
  error_code Listen() {
    error_code failed;
    this->acceptor.open(this->local.protocol(), failed);
    if (!failed) this->acceptor.set_option(asio::socket_base::reuse_address(true), failed);
    if (!failed) this->acceptor.bind(this->local, failed);
    if (!failed) this->acceptor.listen(asio::socket_base::max_listen_connections, failed);
    if (!failed) this->runtime.Spawn([this](Task& task) { this->Accept(task); });
    return failed;
  }

  // Closes the listener, or fills its queue so that the system ignores new connections, as `next`
  // requires, or undoes it.
  void ChangeListener(Mode next) {
    error_code failed;
    if (Refuses(this->mode) && !Refuses(next)) failed = this->Listen();
    if (this->mode == Mode::kUnreachable && next != Mode::kUnreachable) {
      this->queue_fillers.clear();
      this->acceptor.listen(asio::socket_base::max_listen_connections, failed);
      this->runtime.Spawn([this](Task& task) { this->Accept(task); });
    }
    if (Refuses(next) && !Refuses(this->mode)) this->acceptor.close(failed);
    if (next == Mode::kUnreachable && this->mode != Mode::kUnreachable) {
      this->acceptor.cancel(failed);
      this->acceptor.listen(0, failed);
      // A queue of length 0 holds one connection. If a client's is already there, this one is
      // ignored, so the call must not wait for it.
      auto& filler = this->queue_fillers.emplace_back(this->runtime.Impl().io);
      filler.open(this->local.protocol(), failed);
      if (!failed) filler.native_non_blocking(true, failed);
      ::connect(filler.native_handle(), this->local.data(),
                static_cast<socklen_t>(this->local.size()));
    }
    if (failed) LogError("link", "cannot change the listener", {{"error", failed.message()}});
  }

  // The connections that at least one task still serves.
  std::vector<RelayPtr> OpenRelays() {
    std::vector<RelayPtr> open;
    this->relays.remove_if([](const std::weak_ptr<Relay>& weak) { return weak.expired(); });
    for (const auto& weak : this->relays) open.push_back(weak.lock());
    return open;
  }

  Result<void> ApplyFaults(const std::string& body) {
    const auto parsed = ParseJson(body);
    if (!parsed) return tl::unexpected<Error>(parsed.error());
    constexpr int64_t kMaxMillis = 60000;
    JsonFields fields(*parsed, "faults");
    const std::string name = fields.StringOr("mode", "");
    Quality changed = this->quality;
    changed.delay =
        milliseconds(fields.IntegerOr("delay_ms", ToMillis(changed.delay), 0, kMaxMillis));
    changed.jitter =
        milliseconds(fields.IntegerOr("jitter_ms", ToMillis(changed.jitter), 0, kMaxMillis));
    changed.loss = fields.NumberOr("loss", changed.loss, 0, 1);
    fields.RejectUnknownFields();
    if (const auto read = fields.Finish(); !read) return read;
    if (!name.empty()) {
      const auto wanted = ParseMode(name);
      if (!wanted) return tl::unexpected<Error>(wanted.error());
      this->SetMode(*wanted);
    }
    this->quality = changed;
    return {};
  }

  json ReadLog() {
    return {{"connections", this->connections},
            {"open", this->OpenRelays().size()},
            {"bytes", this->bytes}};
  }

  Duration NextDelay() {
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto jitter = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(this->quality.jitter) * uniform(this->random));
    const bool lost = uniform(this->random) < this->quality.loss;
    return this->quality.delay + jitter + (lost ? kRetransmissionDelay : Duration(0));
  }

  void Accept(Task& task) {
    while (true) {
      const auto relay = std::make_shared<Relay>(this->runtime.Impl().io);
      error_code failed;
      this->acceptor.async_accept(relay->client_socket, task.yield[failed]);
      if (failed == asio::error::operation_aborted) return;
      if (failed) {
        SleepUntil(task, SteadyNow() + milliseconds(20));
        continue;
      }
      ++this->connections;
      if (this->mode == Mode::kCut) {
        relay->Reset();
        continue;
      }
      this->relays.push_back(relay);
      this->runtime.Spawn([this, relay](Task& inner) { this->Connect(inner, relay); });
    }
  }

  void Connect(Task& task, const RelayPtr& relay) {
    SleepUntil(task, SteadyNow() + this->NextDelay());
    this->WaitWhilePartitioned(task, *relay);
    if (relay->closed) return;
    error_code failed;
    const auto ip = asio::ip::make_address(this->target.ip, failed);
    if (!failed) {
      relay->target_socket.async_connect(asio::ip::tcp::endpoint(ip, this->target.port),
                                         task.yield[failed]);
    }
    if (failed || relay->closed) {
      relay->Reset();
      return;
    }
    for (auto* socket : {&relay->client_socket, &relay->target_socket}) {
      error_code ignored;
      socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    this->runtime.Spawn([this, relay](Task& inner) {
      this->Read(inner, *relay, relay->client_socket, relay->to_target);
    });
    this->runtime.Spawn([this, relay](Task& inner) {
      this->Write(inner, *relay, relay->target_socket, relay->to_target);
    });
    this->runtime.Spawn([this, relay](Task& inner) {
      this->Read(inner, *relay, relay->target_socket, relay->to_client);
    });
    this->Write(task, *relay, relay->client_socket, relay->to_client);
  }

  void WaitWhilePartitioned(Task& task, Relay& relay) {
    while ((this->mode == Mode::kSilentAll || this->mode == Mode::kUnreachable) && !relay.closed) {
      relay.changed.Wait(task);
    }
  }

  void Read(Task& task, Relay& relay, asio::ip::tcp::socket& from, Flow& flow) {
    std::string buffer(kChunkBytes, '\0');
    while (!relay.closed) {
      error_code failed;
      const std::size_t read = from.async_read_some(asio::buffer(buffer), task.yield[failed]);
      if (relay.closed) return;
      if (relay.silenced) {
        if (failed) return;
        continue;
      }
      if (failed && failed != asio::error::eof) {
        // A partition delays the reset as it delays data.
        this->WaitWhilePartitioned(task, relay);
        if (!relay.silenced) relay.Reset();
        return;
      }
      flow.last_due = std::max(flow.last_due, SteadyNow() + this->NextDelay());
      flow.chunks.push_back(Flow::Chunk{flow.last_due, buffer.substr(0, read)});
      flow.bytes += read;
      relay.changed.NotifyAll();
      if (failed) return;
      while (flow.bytes > kFlowLimit && !relay.closed && !relay.silenced) relay.changed.Wait(task);
    }
  }

  void Write(Task& task, Relay& relay, asio::ip::tcp::socket& to, Flow& flow) {
    while (true) {
      while (flow.chunks.empty() && !relay.closed && !relay.silenced) relay.changed.Wait(task);
      if (relay.closed || relay.silenced) return;
      SleepUntil(task, flow.chunks.front().due);
      this->WaitWhilePartitioned(task, relay);
      if (relay.closed || relay.silenced) return;
      const Flow::Chunk chunk = std::move(flow.chunks.front());
      flow.chunks.pop_front();
      flow.bytes -= chunk.bytes.size();
      this->bytes += chunk.bytes.size();
      relay.changed.NotifyAll();
      error_code failed;
      if (chunk.bytes.empty()) {
        to.shutdown(asio::ip::tcp::socket::shutdown_send, failed);
        return;
      }
      asio::async_write(to, asio::buffer(chunk.bytes), task.yield[failed]);
      if (failed) return relay.Reset();
    }
  }

  Runtime& runtime;
  std::string listen;
  Endpoint target;
  Quality quality;
  std::mt19937_64 random;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::endpoint local;
  std::list<asio::ip::tcp::socket> queue_fillers;
  HttpRouter router;
  std::unique_ptr<HttpServer> control;
  std::string control_address;
  Mode mode = Mode::kUp;
  std::list<std::weak_ptr<Relay>> relays;
  uint64_t connections = 0;
  uint64_t bytes = 0;
};

FakeLink::Builder& FakeLink::Builder::SetListen(std::string value) {
  this->listen = std::move(value);
  return *this;
}

FakeLink::Builder& FakeLink::Builder::SetControl(std::string value) {
  this->control = std::move(value);
  return *this;
}

FakeLink::Builder& FakeLink::Builder::SetTarget(Endpoint value) {
  this->target = std::move(value);
  return *this;
}

FakeLink::Builder& FakeLink::Builder::SetDelay(Duration delay, Duration jitter) {
  this->quality.delay = delay;
  this->quality.jitter = jitter;
  return *this;
}

FakeLink::Builder& FakeLink::Builder::SetLoss(double value) {
  this->quality.loss = value;
  return *this;
}

FakeLink::Builder& FakeLink::Builder::SetSeed(uint64_t value) {
  this->seed = value;
  return *this;
}

std::unique_ptr<FakeLink> FakeLink::Builder::Build() const {
  return std::make_unique<FakeLinkImpl>(*this);
}

}  // namespace anvilcroft::fakes
