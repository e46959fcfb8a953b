#ifndef ANVILCROFT_PEER_TRANSPORT_H_
#define ANVILCROFT_PEER_TRANSPORT_H_

// Opens and accepts websocket connections between instances on the Runtime's thread.
//
//   PeerTransport transport(runtime, metrics);
//   Result<std::string> address = transport.Listen("127.0.0.1:0", on_accepted);
//   std::shared_ptr<PeerLink> link = transport.Connect("127.0.0.1:7001");
//
// A connection is closed when a frame arrives that is not binary, exceeds kMaxPeerMessageBytes or
// violates the protocol. Exports the metric anvilcroft_peer_bytes_total{direction="in"|"out"}.

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
  // Maximum number of accepted connections that are open at once. Sufficient for a full mesh of 16
  // members that all replace their connections.
  static constexpr std::size_t kMaxAccepted = 64;

  using AcceptCallback = std::function<void(std::shared_ptr<PeerLink>)>;

  PeerTransport(Runtime& runtime, Metrics& metrics);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Binds "ip:port" and returns the bound address. Calls the callback with each accepted connection
  // once it is open. Fails with kInvalidArgument if the address is malformed or cannot be bound.
  Result<std::string> Listen(const std::string& address, AcceptCallback accept_callback);

  // Starts to connect and returns the link, which is already closed if `address` is malformed.
  std::shared_ptr<PeerLink> Connect(const std::string& address);

  // Stops accepting connections. Open connections stay open.
  void StopListening();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PEER_TRANSPORT_H_
