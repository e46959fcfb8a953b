#ifndef ANVILCROFT_PEER_TRANSPORT_H_
#define ANVILCROFT_PEER_TRANSPORT_H_

// Websocket connections between instances, made and accepted on the Runtime's thread.
//
//   PeerTransport transport(runtime, metrics);
//   Result<std::string> address = transport.Listen("127.0.0.1:0", on_accepted);
//   std::shared_ptr<PeerLink> link = transport.Connect("127.0.0.1:7001");
//
// A frame that is not binary, is larger than kMaxPeerMessageBytes or breaks the protocol closes its
// connection. Counts anvilcroft_peer_bytes_total{direction="in"|"out"}.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/peer_link.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

class PeerTransport {
 public:
  // Most accepted connections at once: the full mesh of 16 members, each replacing its connection.
  static constexpr std::size_t kMaxAccepted = 64;

  using AcceptCallback = std::function<void(std::shared_ptr<PeerLink>)>;

  PeerTransport(Runtime& runtime, Metrics& metrics);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Binds "ip:port" and returns the bound address. Each accepted link is open. Fails with
  // kInvalidArgument.
  Result<std::string> Listen(const std::string& address, AcceptCallback accept_callback);

  // Starts to connect. The link is closed at once if `address` is malformed.
  std::shared_ptr<PeerLink> Connect(const std::string& address);

  // Stops accepting. Open links stay open.
  void StopListening();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PEER_TRANSPORT_H_
