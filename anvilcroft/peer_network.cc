#include "anvilcroft/peer_network.h"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

#include "anvilcroft/event.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "peers";

struct SentPing {
  uint64_t seq;
  TimePoint at;
};

}  // namespace

// A connection that this instance opens to one destination and opens again after a failure.
struct PeerNetwork::OutboundConnection {
  Destination destination;
  bool wanted = true;
  std::shared_ptr<PeerLink> link;
  Event changed;
};

// A connection whose hello has arrived.
struct PeerNetwork::Peer {
  std::string id;
  bool seed = false;
  std::shared_ptr<PeerLink> link;
  std::deque<SentPing> unanswered;
  uint64_t next_seq = 1;
  TimePoint last_received;
  std::optional<TimePoint> last_contact;  // when the newest answered ping was sent

  bool InContact(TimePoint now) const {
    return this->link->CurrentState() == PeerLink::State::kOpen && this->last_contact &&
           now - *this->last_contact < kMaxSilence;
  }
};

PeerNetwork::PeerNetwork(Runtime& runtime, Metrics& metrics, std::string self, uint64_t seed,
                         Hooks hooks)
    : runtime(runtime),
      self(std::move(self)),
      random(seed),
      hooks(std::move(hooks)),
      transport(runtime, metrics) {
  metrics.RegisterGauge("anvilcroft_peers_in_contact", {}, [this] {
    return static_cast<double>(this->InContact(SteadyNow()).size());
  });
}

PeerNetwork::~PeerNetwork() = default;

Result<std::string> PeerNetwork::Listen(const std::string& address) {
  return this->transport.Listen(address, [this](const std::shared_ptr<PeerLink>& link) {
    this->runtime.Spawn([this, link](Task& task) { this->HandleConnection(task, link, nullptr); });
  });
}

void PeerNetwork::SetDestinations(const std::vector<Destination>& destinations) {
  if (this->halted) return;
  std::set<Destination> wanted;
  for (const Destination& destination : destinations) {
    if (destination.id.empty() || this->self < destination.id) wanted.insert(destination);
  }
  for (auto at = this->outbound.begin(); at != this->outbound.end();) {
    if (wanted.erase(at->first) != 0) {
      ++at;
      continue;
    }
    at->second->wanted = false;
    if (at->second->link) at->second->link->Close();
    at->second->changed.NotifyAll();
    at = this->outbound.erase(at);
  }
  for (const Destination& destination : wanted) {
    const auto connection = std::make_shared<OutboundConnection>();
    connection->destination = destination;
    this->outbound[destination] = connection;
    this->runtime.Spawn([this, connection](Task& task) { this->KeepConnected(task, connection); });
  }
}

void PeerNetwork::KeepConnected(Task& task, const std::shared_ptr<OutboundConnection>& connection) {
  Duration backoff = kMinBackoff;
  while (connection->wanted) {
    connection->link = this->transport.Connect(connection->destination.address);
    const TimePoint begin = SteadyNow();
    if (connection->link->WaitOpen(task, begin + kMaxSilence)) {
      this->HandleConnection(task, connection->link, &connection->destination);
    }
    connection->link->Close();
    if (SteadyNow() - begin > kMaxBackoff) backoff = kMinBackoff;
    const TimePoint retry_at = SteadyNow() + this->Jittered(backoff);
    while (connection->wanted && connection->changed.WaitUntil(task, retry_at)) {
    }
    backoff = std::min<Duration>(backoff * 2, kMaxBackoff);
  }
}

Duration PeerNetwork::Jittered(Duration duration) {
  return std::uniform_int_distribution<Duration::rep>(duration.count() / 2,
                                                      duration.count())(this->random) *
         Duration(1);
}

void PeerNetwork::HandleConnection(Task& task, const std::shared_ptr<PeerLink>& link,
                                   const Destination* destination) {
  this->links.erase(std::remove_if(this->links.begin(), this->links.end(),
                                   [](const auto& weak) { return weak.expired(); }),
                    this->links.end());
  this->links.push_back(link);
  if (this->halted) link->Close();
  if (const auto peer = this->ExchangeHello(task, link, destination)) {
    // The newer connection to an instance replaces the older one, which may belong to a process
    // that has ended.
    const auto previous = std::exchange(this->peers[peer->id], peer);
    if (previous) previous->link->Close();
    this->RunSession(task, *peer);
    const auto current = this->peers.find(peer->id);
    if (current != this->peers.end() && current->second == peer) this->peers.erase(current);
  }
  link->Close();
}

std::shared_ptr<PeerNetwork::Peer> PeerNetwork::ExchangeHello(Task& task,
                                                              const std::shared_ptr<PeerLink>& link,
                                                              const Destination* destination) {
  link->Send(EncodePeerMessage(this->hooks.hello()));
  const auto bytes = link->Receive(task, SteadyNow() + kMaxSilence);
  if (!bytes) return nullptr;
  const auto message = DecodePeerMessage(*bytes);
  const auto* hello = message ? std::get_if<HelloMessage>(&*message) : nullptr;
  if (hello == nullptr) {
    LogWarning(kPart, "the first message of a peer is not a valid hello; closing the connection");
    return nullptr;
  }
  const bool expected =
      destination == nullptr || destination->id.empty() || destination->id == hello->instance;
  if (hello->instance == this->self || !expected) {
    LogWarning(kPart, "the hello of a peer has an unexpected instance id; closing the connection",
               {{"instance", hello->instance}});
    return nullptr;
  }
  auto peer = std::make_shared<Peer>();
  peer->id = hello->instance;
  peer->seed = destination != nullptr && destination->id.empty();
  peer->link = link;
  peer->last_received = SteadyNow();
  return peer;
}

void PeerNetwork::RunSession(Task& task, Peer& peer) {
  constexpr std::size_t kMaxUnanswered = 8;
  TimePoint next_ping = SteadyNow();
  while (peer.link->CurrentState() == PeerLink::State::kOpen) {
    const TimePoint now = SteadyNow();
    if (now >= next_ping) {
      peer.unanswered.push_back({peer.next_seq, now});
      if (peer.unanswered.size() > kMaxUnanswered) peer.unanswered.pop_front();
      const PingMessage ping{peer.next_seq++, false, {}};
      peer.link->Send(EncodePeerMessage(ping));
      next_ping = now + kPingPeriod;
    }
    const TimePoint silent_at = peer.last_received + kMaxSilence;
    const auto bytes = peer.link->Receive(task, std::min(next_ping, silent_at));
    if (!bytes) {
      if (SteadyNow() < silent_at) continue;
      LogWarning(kPart, "a peer has stopped sending messages; closing the connection",
                 {{"instance", peer.id}});
      return;
    }
    const auto message = DecodePeerMessage(*bytes);
    if (!message) {
      LogWarning(kPart, "cannot decode a message from a peer; closing the connection",
                 {{"instance", peer.id}, {"error", message.error().message}});
      return;
    }
    peer.last_received = SteadyNow();
    this->HandleMessage(peer, *message);
  }
}

void PeerNetwork::HandleMessage(Peer& peer, const PeerMessage& message) {
  const auto* ping = std::get_if<PingMessage>(&message);
  if (ping == nullptr) {
    if (std::holds_alternative<HelloMessage>(message)) return;
    if (std::holds_alternative<UnknownMessage>(message)) return;
    this->hooks.on_message(peer.id, message);
    return;
  }
  if (!ping->answer) {
    const PingMessage pong{ping->seq, true, this->hooks.digest(SteadyNow())};
    peer.link->Send(EncodePeerMessage(pong));
    return;
  }
  const auto sent =
      std::find_if(peer.unanswered.begin(), peer.unanswered.end(),
                   [&](const SentPing& candidate) { return candidate.seq == ping->seq; });
  if (sent == peer.unanswered.end()) return;
  const TimePoint sent_at = sent->at;
  peer.unanswered.erase(peer.unanswered.begin(), std::next(sent));
  peer.last_contact = sent_at;
  this->hooks.on_digest(peer.id, ping->digest, sent_at);
}

bool PeerNetwork::Send(const std::string& peer, const PeerMessage& message) {
  const auto found = this->peers.find(peer);
  return found != this->peers.end() && found->second->link->Send(EncodePeerMessage(message));
}

void PeerNetwork::Broadcast(const PeerMessage& message, const std::string& except) {
  const std::string bytes = EncodePeerMessage(message);
  for (const auto& [id, peer] : this->peers) {
    if (id != except) peer->link->Send(bytes);
  }
}

std::vector<std::string> PeerNetwork::InContact(TimePoint now) const {
  std::vector<std::string> ids;
  for (const auto& [id, peer] : this->peers) {
    if (peer->InContact(now)) ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> PeerNetwork::SeedsInContact(TimePoint now) const {
  std::vector<std::string> ids;
  for (const auto& [id, peer] : this->peers) {
    if (peer->seed && peer->InContact(now)) ids.push_back(id);
  }
  return ids;
}

void PeerNetwork::Halt() {
  this->SetDestinations({});
  this->halted = true;
  this->transport.StopListening();
  for (const auto& weak : this->links) {
    if (const auto link = weak.lock()) link->Close();
  }
}

}  // namespace anvilcroft
