#include "anvilcroft/peer_transport.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/log.h"
#include "anvilcroft/peer_message.h"
#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "peers";

// Configures websocketpp: single-threaded, without its own logging, with a limit on the message
// size and with timeouts.
template <typename Base>
struct PeerConfig : public Base {
  using type = PeerConfig;                                  // NOLINT
  using concurrency_type = websocketpp::concurrency::none;  // NOLINT
  using alog_type = websocketpp::log::stub;                 // NOLINT
  using elog_type = websocketpp::log::stub;                 // NOLINT

  struct transport_config : public Base::transport_config {   // NOLINT
    using concurrency_type = websocketpp::concurrency::none;  // NOLINT
    using alog_type = websocketpp::log::stub;                 // NOLINT
    using elog_type = websocketpp::log::stub;                 // NOLINT
    static const bool enable_multithreading = false;          // NOLINT
    static const long timeout_connect = 3000;                 // NOLINT: milliseconds
    static const long timeout_dns_resolve = 3000;             // NOLINT: milliseconds
  };
  using transport_type = websocketpp::transport::asio::endpoint<transport_config>;  // NOLINT

  static const long timeout_open_handshake = 3000;                   // NOLINT: milliseconds
  static const long timeout_close_handshake = 500;                   // NOLINT: milliseconds
  static const std::size_t max_message_size = kMaxPeerMessageBytes;  // NOLINT
};

using Server = websocketpp::server<PeerConfig<websocketpp::config::asio>>;
using Client = websocketpp::client<PeerConfig<websocketpp::config::asio_client>>;
using websocketpp::connection_hdl;
using BytesHook = std::function<void(const char* direction, std::size_t bytes)>;

// Connects `link` with the library's connection. The connection's handlers own the link; the link
// holds only a weak reference to the connection.
template <typename ConnectionPtr>
void Attach(const ConnectionPtr& connection, const std::shared_ptr<PeerLink>& link,
            const BytesHook& count_bytes) {
  const std::weak_ptr<typename ConnectionPtr::element_type> weak = connection;
  link->transport_send = [weak, count_bytes](const std::string& bytes) {
    const auto open = weak.lock();
    if (!open || bytes.size() > kMaxPeerMessageBytes) return false;
    if (open->get_buffered_amount() + bytes.size() > PeerLink::kMaxQueuedBytes) return false;
    if (open->send(bytes, websocketpp::frame::opcode::binary)) return false;
    count_bytes("out", bytes.size());
    return true;
  };
  link->transport_close = [weak] {
    const auto open = weak.lock();
    if (!open) return;
    websocketpp::lib::error_code ignored;
    open->close(websocketpp::close::status::going_away, "", ignored);
  };
  connection->set_open_handler([link](const connection_hdl&) { link->OnOpen(); });
  connection->set_fail_handler([link](const connection_hdl&) { link->OnClose(); });
  connection->set_close_handler([link](const connection_hdl&) { link->OnClose(); });
  connection->set_message_handler([link, count_bytes](const connection_hdl&, const auto& message) {
    count_bytes("in", message->get_payload().size());
    if (message->get_opcode() != websocketpp::frame::opcode::binary) {
      link->Close();
    } else {
      link->OnMessage(message->get_payload());
    }
  });
}

}  // namespace

class PeerTransport::Impl : public std::enable_shared_from_this<PeerTransport::Impl> {
 public:
  Impl(Runtime& runtime, Metrics& metrics) {
    this->count_bytes = [&metrics](const char* direction, std::size_t bytes) {
      metrics.Increment("anvilcroft_peer_bytes_total", {{"direction", direction}},
                        static_cast<double>(bytes));
    };
    websocketpp::lib::error_code failed;
    this->server.init_asio(&runtime.Impl().io, failed);
    ANVILCROFT_CHECK(!failed);
    this->client.init_asio(&runtime.Impl().io, failed);
    ANVILCROFT_CHECK(!failed);
    this->server.set_reuse_addr(true);
    const auto no_delay = [](const connection_hdl&, auto& socket) {
      boost::system::error_code ignored;
      socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    };
    // The client's socket is not open yet when its init handler runs. Connect sets the option in
    // its open handler instead.
    this->server.set_socket_init_handler(no_delay);
  }

  Result<std::string> Listen(const std::string& address, AcceptCallback on_accepted) {
    const auto parsed = ParseEndpoint(address);
    if (!parsed) return tl::unexpected<Error>(parsed.error());
    this->accept_callback = std::move(on_accepted);
    this->server.set_validate_handler([this](const connection_hdl& handle) {
      if (this->open_connections < kMaxAccepted) return this->Prepare(handle);
      LogWarning(kPart, "peer connection limit reached; rejecting a new connection");
      return false;
    });
    websocketpp::lib::error_code failed;
    this->server.listen(
        boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(parsed->ip), parsed->port),
        failed);
    if (!failed) this->server.start_accept(failed);
    if (failed) {
      return Fail(ErrorCode::kInvalidArgument,
                  "cannot listen on the peer address: " + failed.message(), address);
    }
    boost::system::error_code ignored;
    return Endpoint{parsed->ip, this->server.get_local_endpoint(ignored).port()}.ToString();
  }

  std::shared_ptr<PeerLink> Connect(const std::string& address) {
    auto link = std::make_shared<PeerLink>();
    websocketpp::lib::error_code failed;
    const auto connection = this->client.get_connection("ws://" + address + "/peer", failed);
    if (failed) {
      link->OnClose();
      return link;
    }
    Attach(connection, link, this->count_bytes);
    connection->set_open_handler(
        [link, weak = std::weak_ptr<Client::connection_type>(connection)](const connection_hdl&) {
          boost::system::error_code ignored;
          if (const auto open = weak.lock()) {
            open->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
          }
          link->OnOpen();
          // The link may have been closed while the connection was being established.
          if (link->CurrentState() == PeerLink::State::kClosed) link->transport_close();
        });
    this->client.connect(connection);
    return link;
  }

  void StopListening() {
    websocketpp::lib::error_code ignored;
    if (this->server.is_listening()) this->server.stop_listening(ignored);
  }

 private:
  // Sets up an incoming connection whose handshake request has arrived. Returns whether to accept
  // it.
  bool Prepare(const connection_hdl& handle) {
    websocketpp::lib::error_code failed;
    const auto connection = this->server.get_con_from_hdl(handle, failed);
    if (failed) return false;
    auto link = std::make_shared<PeerLink>();
    Attach(connection, link, this->count_bytes);
    const std::weak_ptr<Impl> weak = this->weak_from_this();
    connection->set_open_handler([link, weak](const connection_hdl&) {
      link->OnOpen();
      const auto self = weak.lock();
      if (self == nullptr) return;
      ++self->open_connections;
      self->accept_callback(link);
    });
    connection->set_close_handler([link, weak](const connection_hdl&) {
      link->OnClose();
      if (const auto self = weak.lock()) --self->open_connections;
    });
    return true;
  }

  Server server;
  Client client;
  AcceptCallback accept_callback;
  BytesHook count_bytes;
  std::size_t open_connections = 0;
};

PeerTransport::PeerTransport(Runtime& runtime, Metrics& metrics)
    : impl(std::make_shared<Impl>(runtime, metrics)) {}

PeerTransport::~PeerTransport() = default;

Result<std::string> PeerTransport::Listen(const std::string& address,
                                          AcceptCallback accept_callback) {
  return this->impl->Listen(address, std::move(accept_callback));
}

std::shared_ptr<PeerLink> PeerTransport::Connect(const std::string& address) {
  return this->impl->Connect(address);
}

void PeerTransport::StopListening() { this->impl->StopListening(); }

}  // namespace anvilcroft
