#ifndef ANVILCROFT_PEER_NETWORK_H_
#define ANVILCROFT_PEER_NETWORK_H_

// The connections between this instance and its peers, with one task for each connection.
//
// Of two members, the one with the smaller id connects. A failed connection is retried after a
// backoff of 0.2 to 5 s. Each side sends a hello first and then a ping every second, which the
// other side answers. A connection is closed if its peer sends nothing for 3 s or sends a message
// that cannot be decoded.
//
// The time of the last contact with a peer is when the answered ping was sent, not when the answer
// arrived: if this process was paused, answers buffered in the socket may be outdated.

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

  // The hooks run in the tasks of the connections and must not block.
  struct Hooks {
    std::function<HelloMessage()> hello;
    std::function<PeerDigest(TimePoint now)> digest;
    // Called with the digest of a peer. The digest is not older than `sent_at`, when the ping that
    // it answers was sent.
    std::function<void(const std::string& peer, const PeerDigest& digest, TimePoint sent_at)>
        on_digest;
    // Called for all messages except hello, ping, pong and those of an unrecognized type.
    std::function<void(const std::string& peer, const PeerMessage& message)> on_message;
  };

  // Another instance to stay connected to. A seed has an empty id, because its id is unknown until
  // its hello arrives.
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

  // Keeps connections to the seeds and to those of `destinations` with a greater id than this
  // instance. Closes the connections that this instance opened to any other destination.
  void SetDestinations(const std::vector<Destination>& destinations);

  // Sends a message to one peer. Returns false if it is not connected or the message cannot be
  // queued.
  bool Send(const std::string& peer, const PeerMessage& message);

  // Sends a message to all connected peers except the one with the id `except`.
  void Broadcast(const PeerMessage& message, const std::string& except = "");

  // Returns the ids of the connected peers that answered a ping sent less than kMaxSilence before
  // `now`.
  std::vector<std::string> InContact(TimePoint now) const;

  // Returns the subset of InContact(now) that this instance connected to as seeds.
  std::vector<std::string> SeedsInContact(TimePoint now) const;

  // Closes all connections and the listener permanently.
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
  std::map<std::string, std::shared_ptr<Peer>> peers;  // by id, after their hello has arrived
  std::vector<std::weak_ptr<PeerLink>> links;          // all connections, closed by Halt
  bool halted = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PEER_NETWORK_H_
