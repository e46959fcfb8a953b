// Tests how an instance handles peers that misbehave: each test talks to a ClusterNode over a raw
// websocket.

#include <catch2/catch.hpp>

#include "anvilcroft/peer_message.h"
#include "anvilcroft/peer_transport.h"
#include "testing/cluster_harness.h"

namespace anvilcroft {
namespace {

// Opens a raw connection to the peer port of `instance`.
std::shared_ptr<PeerLink> Connect(Task& task, PeerTransport& transport,
                                  ClusterHarness::Instance& instance) {
  auto link = transport.Connect(instance.node->PeerAddress());
  REQUIRE(link->WaitOpen(task, SteadyNow() + seconds(20)));
  return link;
}

bool SendMessage(PeerLink& link, const PeerMessage& message) {
  return link.Send(EncodePeerMessage(message));
}

// Receives messages until one of type T arrives, and returns it.
template <typename T>
T ReceiveMessage(Task& task, PeerLink& link) {
  while (true) {
    const auto bytes = link.Receive(task, SteadyNow() + seconds(20));
    REQUIRE(bytes);
    const auto message = DecodePeerMessage(*bytes);
    REQUIRE(message);
    if (const auto* found = std::get_if<T>(&*message)) return *found;
  }
}

// Receives until the link is closed; false if it is still open after 20 seconds.
bool WaitClosed(Task& task, PeerLink& link) {
  const TimePoint limit = SteadyNow() + seconds(20);
  while (link.CurrentState() != PeerLink::State::kClosed && SteadyNow() < limit) {
    link.Receive(task, limit);
  }
  return link.CurrentState() == PeerLink::State::kClosed;
}

// Guards against tolerating a peer that sends invalid frames, stays silent, or claims the
// instance's own id.
TEST_CASE("a connection with invalid frames, silence or a wrong id is closed", "[peer_network]") {
  ClusterHarness cluster;
  Metrics metrics;
  PeerTransport transport(cluster.runtime, metrics);
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 1);
    const auto invalid_first = Connect(task, transport, cluster.At(0));
    invalid_first->Send("no CBOR");
    CHECK(WaitClosed(task, *invalid_first));
    const auto invalid_second = Connect(task, transport, cluster.At(0));
    SendMessage(*invalid_second, HelloMessage{"z", "zone-z", 1});
    CHECK(ReceiveMessage<HelloMessage>(task, *invalid_second).instance == "a");
    invalid_second->Send("\xa1");
    CHECK(WaitClosed(task, *invalid_second));
    const auto impostor = Connect(task, transport, cluster.At(0));
    SendMessage(*impostor, HelloMessage{"a", "zone-a", 1});
    CHECK(WaitClosed(task, *impostor));
    const auto silent = Connect(task, transport, cluster.At(0));
    SendMessage(*silent, HelloMessage{"z", "zone-z", 1});
    CHECK(WaitClosed(task, *silent));
    CHECK(cluster.At(0).node->Ready());
  });
}

// Guards against a newer process of an instance that cannot connect while an older connection under
// the same id is still open.
TEST_CASE("a newer connection of an instance replaces the older one", "[peer_network]") {
  ClusterHarness cluster;
  Metrics metrics;
  PeerTransport transport(cluster.runtime, metrics);
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 1);
    const auto first = Connect(task, transport, cluster.At(0));
    SendMessage(*first, HelloMessage{"z", "zone-z", 1});
    ReceiveMessage<PingMessage>(task, *first);
    const auto second = Connect(task, transport, cluster.At(0));
    SendMessage(*second, HelloMessage{"z", "zone-z", 2});
    CHECK(WaitClosed(task, *first));
    CHECK(ReceiveMessage<PingMessage>(task, *second).seq >= 1);
  });
}

// Guards against a configuration version that decreases, entries that are applied out of order, and
// fetches that are not answered.
TEST_CASE("a peer's old configuration is ignored and its entries are applied in order",
          "[peer_network]") {
  ClusterHarness cluster;
  Metrics metrics;
  PeerTransport transport(cluster.runtime, metrics);
  cluster.Run([&](Task& task) {
    cluster.StartInstances(task, 1);
    for (uint64_t base = 0; base < 3; ++base) {
      const std::string name = std::to_string(base);
      REQUIRE(cluster.PostPatch(task, cluster.At(0), base, "p" + name, "t" + name).Status() == 200);
    }
    const auto link = Connect(task, transport, cluster.At(0));
    SendMessage(*link, HelloMessage{"z", "zone-z", 1});
    const auto old = ConfigDocument().Apply({{"drained_targets", {{"old", true}}}}, 2);
    SendMessage(*link, ConfigSnapshotMessage{2, old->Json()});
    SendMessage(*link, ConfigFetchMessage{1, false});
    const auto entries = ReceiveMessage<ConfigEntriesMessage>(task, *link).entries;
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].patch_id == "p1");
    CHECK(cluster.At(0).ConfigVersion() == 3);
    SendMessage(*link, ConfigFetchMessage{0, true});
    CHECK(ReceiveMessage<ConfigSnapshotMessage>(task, *link).version == 3);

    // Version 5 arrives before version 4, so the instance fetches the missing entries.
    ConfigEntry four{4, 3, "p4", "", {{"drained_targets", {{"t4", true}}}}, 0};
    ConfigEntry five{5, 4, "p5", "", {{"drained_targets", {{"t4", nullptr}}}}, 0};
    SendMessage(*link, ConfigEntriesMessage{{five}});
    const auto ping = ReceiveMessage<PingMessage>(task, *link);
    SendMessage(*link, PingMessage{ping.seq, true, {5, 0, 0, -1}});
    CHECK(ReceiveMessage<ConfigFetchMessage>(task, *link).after == 3);
    CHECK(cluster.At(0).ConfigVersion() == 3);
    SendMessage(*link, ConfigEntriesMessage{{four}});
    cluster.Await(task, "both in force", [&] { return cluster.At(0).ConfigVersion() == 5; });
    CHECK_FALSE(cluster.At(0).node->View().config()->Drained("t4"));
  });
}

}  // namespace
}  // namespace anvilcroft
