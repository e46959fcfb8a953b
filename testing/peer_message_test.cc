// Tests the encoding of messages between instances: round trips, bounds of fields, and random input
// to the decoder.

#include "anvilcroft/peer_message.h"

#include <catch2/catch.hpp>
#include <random>

namespace anvilcroft {
namespace {

std::vector<PeerMessage> ExampleMessages() {
  ConfigEntry entry;
  entry.version = 8;
  entry.base = 7;
  entry.patch_id = "p8";
  entry.author = "asha";
  entry.patch = {{"drained_targets", {{"t1", true}}}};
  entry.at_ms = 1234567890123;
  return {HelloMessage{"i-1", "ahmedabad", 17},
          PingMessage{3, false, {}},
          PingMessage{3, true, {8, 5, 2, 120}},
          PingMessage{4, true, {8, 5, 2, -1}},
          ConfigEntriesMessage{{entry, entry}},
          ConfigFetchMessage{7, true},
          ConfigSnapshotMessage{8, {{"deployments", nlohmann::json::object()}}},
          NotifyMessage{"group_shard", {{"shard", 12}}},
          SuspectMessage{"abc", 2, 600000}};
}

std::string ToCbor(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  return bytes;
}

// Guards against a field that encoding or decoding loses or changes.
TEST_CASE("each message is decoded as it was encoded", "[peer_message]") {
  for (const PeerMessage& message : ExampleMessages()) {
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(decoded);
    CHECK(*decoded == message);
  }
}

// Guards the budget of control traffic, 2 KB/s for an instance: with 8 peers it sends and receives
// 8 pings and 8 pongs a second.
TEST_CASE("pings fit the budget of control traffic", "[peer_message]") {
  const PingMessage ping{10'000'000, false, {}};
  const PingMessage pong{10'000'000, true, {100'000, 100'000, 1'000'000, 100'000}};
  const std::size_t bytes = EncodePeerMessage(ping).size() + EncodePeerMessage(pong).size();
  CHECK(bytes * 8 * 2 <= 1280);
}

// Guards against accepting fields out of bounds, and against rejecting the unknown message types of
// a newer peer, which would close the connection.
TEST_CASE("invalid fields are errors and unknown types are not", "[peer_message]") {
  const auto refused = [](const nlohmann::json& value) {
    return !DecodePeerMessage(ToCbor(value)).has_value();
  };
  CHECK(refused(nullptr));
  CHECK(refused({{"type", "hello"}, {"instance", "i"}, {"zone", "z"}, {"epoch", 1}}));
  CHECK(refused({{"type", "hello"}, {"v", 1}, {"instance", ""}, {"zone", "z"}, {"epoch", 1}}));
  CHECK(refused({{"type", "hello"}, {"v", 1}, {"instance", "i"}, {"zone", "z"}, {"epoch", -1}}));
  CHECK(refused({{"type", "config_fetch"}, {"v", 1}, {"after", UINT64_MAX}}));
  const auto pong = [](const nlohmann::json& digest) {
    return nlohmann::json{{"type", "pong"}, {"v", 1}, {"seq", 1}, {"digest", digest}};
  };
  CHECK_FALSE(refused(pong({1, 2, 3, -1})));
  CHECK(refused(pong({1, 2, 3})));
  CHECK(refused(pong({1, 2, 3, -2})));
  CHECK(refused(pong({1, -1, 3, 4})));
  CHECK(refused(pong({UINT64_MAX, 2, 3, 4})));
  CHECK(refused(pong({1, 2, 3, UINT64_MAX})));
  CHECK(refused(pong({1, 2, 3, INT64_MAX})));
  CHECK(refused(pong({1, 2, 3, 4, 5})));
  CHECK(refused(pong({1, 2, 3, "4"})));
  CHECK(refused({{"type", "config_entries"}, {"v", 1}, {"entries", {{{"version", 1}}}}}));
  CHECK(refused({{"type", "suspect"}, {"v", 1}, {"fingerprint", "f"}, {"deaths", 1e9}}));
  CHECK(refused({{"type", std::string(65, 'x')}, {"v", 1}}));
  CHECK_FALSE(DecodePeerMessage(std::string(kMaxPeerMessageBytes + 1, '\0')));
  const auto unknown = DecodePeerMessage(ToCbor({{"type", "later"}, {"v", 2}, {"x", 1}}));
  REQUIRE(unknown);
  CHECK(std::holds_alternative<UnknownMessage>(*unknown));
}

// Guards against input that crashes the decoder, keeps it running without bound, or decodes to a
// message that cannot be encoded.
TEST_CASE("random and mutated bytes never crash the decoder", "[peer_message]") {
  std::mt19937 random(20261204);
  const auto random_below = [&](std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
  };
  std::size_t accepted = 0;
  const auto check = [&](const std::string& bytes) {
    const auto decoded = DecodePeerMessage(bytes);
    if (!decoded) return;
    ++accepted;
    REQUIRE_FALSE(EncodePeerMessage(*decoded).empty());
  };
  for (int i = 0; i < 20000; ++i) {
    std::string bytes(random_below(64), '\0');
    for (char& byte : bytes) byte = static_cast<char>(random_below(256));
    check(bytes);
  }
  const auto examples = ExampleMessages();
  for (int i = 0; i < 40000; ++i) {
    std::string bytes = EncodePeerMessage(examples[random_below(examples.size())]);
    for (std::size_t change = random_below(4) + 1; change > 0 && !bytes.empty(); --change) {
      const std::size_t at = random_below(bytes.size());
      switch (random_below(4)) {
        case 0:
          bytes[at] = static_cast<char>(random_below(256));
          break;
        case 1:
          bytes.erase(at, random_below(8) + 1);
          break;
        case 2:
          bytes.insert(at, bytes.substr(random_below(bytes.size()), random_below(16)));
          break;
        default:
          bytes.resize(at);
          break;
      }
    }
    check(bytes);
  }
  CHECK(accepted > 0);
}

}  // namespace
}  // namespace anvilcroft
