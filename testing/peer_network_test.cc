// Guards the connections between instances against peers that misbehave: each test speaks to a
// ClusterNode over a raw websocket.

#include <catch2/catch.hpp>

#include "anvilcroft/peer_message.h"
#include "anvilcroft/peer_transport.h"
#include "testing/cluster_harness.h"

namespace anvilcroft {
namespace {

// A raw connection to the peer port of `instance`, open.
std::shared_ptr<PeerLink> Connect(Task& task, PeerTransport& transport,
                                  ClusterHarness::Instance& instance) {
  auto link = transport.Connect(instance.node->PeerAddress());
  REQUIRE(link->WaitOpen(task, SteadyNow() + seconds(20)));
  return link;
}

bool SendMessage(PeerLink& link, const PeerMessage& message) {
  return link.Send(EncodePeerMessage(message));
}

// Reads messages until one of type T comes.
template <typename T>
T Expect(Task& task, PeerLink& link) {
  while (true) {
    const auto bytes = link.Receive(task, SteadyNow() + seconds(20));
    REQUIRE(bytes);
    const auto message = DecodePeerMessage(*bytes);
    REQUIRE(message);
    if (const auto* found = std::get_if<T>(&*message)) return *found;
  }
}

bool ClosedSoon(Task& task, PeerLink& link) {
  const TimePoint limit = SteadyNow() + seconds(20);
  while (link.CurrentState() != PeerLink::State::kClosed && SteadyNow() < limit) {
    link.Receive(task, limit);
  }
  return link.CurrentState() == PeerLink::State::kClosed;
}

// Guards against a peer whose bad frames, silence or false identity are tolerated.
TEST_CASE("a connection with bad frames, silence or a wrong id is closed", "[peer_network]") {
  ClusterHarness cluster;
  Metrics metrics;
  PeerTransport transport(cluster.runtime, metrics);
  cluster.Run([&](Task& task) {
    cluster.Form(task, 1);
    const auto bad = Connect(task, transport, cluster.At(0));
    bad->Send("no CBOR");
    CHECK(ClosedSoon(task, *bad));
    const auto late_bad = Connect(task, transport, cluster.At(0));
    SendMessage(*late_bad, HelloMessage{"z", "zone-z", 1});
    CHECK(Expect<HelloMessage>(task, *late_bad).instance == "a");
    late_bad->Send("\xa1");
    CHECK(ClosedSoon(task, *late_bad));
    const auto impostor = Connect(task, transport, cluster.At(0));
    SendMessage(*impostor, HelloMessage{"a", "zone-a", 1});
    CHECK(ClosedSoon(task, *impostor));
    const auto silent = Connect(task, transport, cluster.At(0));
    SendMessage(*silent, HelloMessage{"z", "zone-z", 1});
    CHECK(ClosedSoon(task, *silent));
    CHECK(cluster.At(0).node->Ready());
  });
}

// Guards against a newer process of an instance that cannot connect because an older connection of
// the same id is still open.
TEST_CASE("a newer connection of an instance replaces the older one", "[peer_network]") {
  ClusterHarness cluster;
  Metrics metrics;
  PeerTransport transport(cluster.runtime, metrics);
  cluster.Run([&](Task& task) {
    cluster.Form(task, 1);
    const auto first = Connect(task, transport, cluster.At(0));
    SendMessage(*first, HelloMessage{"z", "zone-z", 1});
    Expect<PingMessage>(task, *first);
    const auto second = Connect(task, transport, cluster.At(0));
    SendMessage(*second, HelloMessage{"z", "zone-z", 2});
    CHECK(ClosedSoon(task, *first));
    CHECK(Expect<PingMessage>(task, *second).seq >= 1);
  });
}

// Guards against a version that falls, entries applied out of order, and fetches without an answer.
TEST_CASE("old and unordered configuration from a peer does no harm", "[peer_network]") {
  ClusterHarness cluster;
  Metrics metrics;
  PeerTransport transport(cluster.runtime, metrics);
  cluster.Run([&](Task& task) {
    cluster.Form(task, 1);
    for (uint64_t base = 0; base < 3; ++base) {
      const std::string name = std::to_string(base);
      REQUIRE(cluster.Patch(task, cluster.At(0), base, "p" + name, "t" + name).Status() == 200);
    }
    const auto link = Connect(task, transport, cluster.At(0));
    SendMessage(*link, HelloMessage{"z", "zone-z", 1});
    const auto old = ConfigDocument().Apply({{"drained_targets", {{"old", true}}}}, 2);
    SendMessage(*link, ConfigSnapshotMessage{2, old->Json()});
    SendMessage(*link, ConfigFetchMessage{1, false});
    const auto entries = Expect<ConfigEntriesMessage>(task, *link).entries;
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].patch_id == "p1");
    CHECK(cluster.At(0).ConfigVersion() == 3);
    SendMessage(*link, ConfigFetchMessage{0, true});
    CHECK(Expect<ConfigSnapshotMessage>(task, *link).version == 3);

    // Version 5 comes before version 4, for which the instance then asks.
    ConfigEntry four{4, 3, "p4", "", {{"drained_targets", {{"t4", true}}}}, 0};
    ConfigEntry five{5, 4, "p5", "", {{"drained_targets", {{"t4", nullptr}}}}, 0};
    SendMessage(*link, ConfigEntriesMessage{{five}});
    const auto ping = Expect<PingMessage>(task, *link);
    SendMessage(*link, PingMessage{ping.seq, true, {5, 0, 0, -1}});
    CHECK(Expect<ConfigFetchMessage>(task, *link).after == 3);
    CHECK(cluster.At(0).ConfigVersion() == 3);
    SendMessage(*link, ConfigEntriesMessage{{four}});
    cluster.Await(task, "both in force", [&] { return cluster.At(0).ConfigVersion() == 5; });
    CHECK_FALSE(cluster.At(0).node->View().config()->Drained("t4"));
  });
}

}  // namespace
}  // namespace anvilcroft
