#ifndef ANVILCROFT_PEER_NETWORK_H_
#define ANVILCROFT_PEER_NETWORK_H_

// The connections of this instance with its peers: one task for each connection.
//
// Of two members the one with the smaller id connects; a failed connection is made again after a
// backoff of 0.2 to 5 s. Each side sends a hello first, then a ping every second, which the other
// answers. A connection whose peer is silent for 3 s, or sends a frame that does not decode, is
// closed.
//
// Contact with a peer is counted from the moment an answered ping was sent, not from the arrival
// of the answer: after a pause of this process, answers that waited in the socket prove nothing
// about the present.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/peer_message.h"
#include "anvilcroft/peer_transport.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

class PeerNetwork {
 public:
  static constexpr Duration kPingPeriod = seconds(1);
  static constexpr Duration kMaxSilence = seconds(3);
  static constexpr Duration kMinBackoff = milliseconds(200);
  static constexpr Duration kMaxBackoff = seconds(5);

  // The hooks run in the connections' tasks and must not wait.
  struct Hooks {
    std::function<HelloMessage()> hello;
    std::function<PeerDigest(TimePoint now)> digest;
    // A peer's digest, which is not older than `asked_at`: when the ping that it answers was sent.
    std::function<void(const std::string& peer, const PeerDigest& digest, TimePoint asked_at)>
        on_digest;
    // Any message but hello, ping and pong.
    std::function<void(const std::string& peer, const PeerMessage& message)> on_message;
  };

  // Another instance to keep a connection with. Without an id it is a seed, whose id is not known
  // before it says hello.
  struct Destination {
    std::string id;
    std::string address;

    friend bool operator<(const Destination& a, const Destination& b) {
      return std::tie(a.id, a.address) < std::tie(b.id, b.address);
    }
  };

  PeerNetwork(Runtime& runtime, Metrics& metrics, std::string self, uint64_t seed, Hooks hooks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Binds "ip:port" and returns the bound address. Fails with kInvalidArgument.
  Result<std::string> Listen(const std::string& address);

  // Connects to those of `targets` that this instance is to connect to, and closes the connections
  // that it made to others.
  void SetDestinations(const std::vector<Destination>& destinations);

  // Sends to one peer. Returns false if there is no connection.
  bool Send(const std::string& peer, const PeerMessage& message);

  // Sends to every connected peer but `except`.
  void Broadcast(const PeerMessage& message, const std::string& except = "");

  // Ids of the peers that answered a ping sent within kMaxSilence before `now`.
  std::vector<std::string> InContact(TimePoint now) const;

  // Those of them that were connected to as seeds.
  std::vector<std::string> SeedsInContact(TimePoint now) const;

  // Closes everything for good.
  void Halt();

 private:
  struct OutboundConnection;
  struct Peer;

  void KeepConnected(Task& task, const std::shared_ptr<OutboundConnection>& connection);
  void HandleConnection(Task& task, const std::shared_ptr<PeerLink>& link,
                        const Destination* destination);
  std::shared_ptr<Peer> ExchangeHello(Task& task, const std::shared_ptr<PeerLink>& link,
                                      const Destination* destination);
  void RunSession(Task& task, Peer& peer);
  void HandleMessage(Peer& peer, const PeerMessage& message);
  Duration Jittered(Duration duration);

  Runtime& runtime;
  std::string self;
  std::mt19937_64 random;
  Hooks hooks;
  PeerTransport transport;
  std::map<Destination, std::shared_ptr<OutboundConnection>> outbound;
  std::map<std::string, std::shared_ptr<Peer>> peers;  // by id; their hello has come
  std::vector<std::weak_ptr<PeerLink>> links;          // for Halt
  bool halted = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PEER_NETWORK_H_
