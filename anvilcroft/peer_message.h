#ifndef ANVILCROFT_PEER_MESSAGE_H_
#define ANVILCROFT_PEER_MESSAGE_H_

// The messages between instances and their encoding: one CBOR map each, with `type` and `v`.
//
//   std::string bytes = EncodePeerMessage(PingMessage{seq, true, digest});
//   Result<PeerMessage> message = DecodePeerMessage(bytes);
//
// DecodePeerMessage is safe on arbitrary bytes; it fails with kInvalidArgument or kTooLarge and
// names the invalid part. An unrecognized type decodes to UnknownMessage, so that newer versions
// can add messages.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "anvilcroft/config_entry.h"
#include "anvilcroft/error.h"
#include "anvilcroft/row.h"

namespace anvilcroft {

// Maximum size of an encoded message, in bytes.
constexpr std::size_t kMaxPeerMessageBytes = 1 << 20;

// The newest versions that the sender has.
struct PeerDigest {
  uint64_t config_version = 0;
  uint64_t roster_version = 0;
  uint64_t weights_version = 0;
  // Age of the newest confirmation by the table service that the sender has received, directly or
  // from a peer; -1: none.
  int64_t confirmed_age_ms = -1;

  friend bool operator==(const PeerDigest& a, const PeerDigest& b) {
    return std::tie(a.config_version, a.roster_version, a.weights_version, a.confirmed_age_ms) ==
           std::tie(b.config_version, b.roster_version, b.weights_version, b.confirmed_age_ms);
  }
};

// The first message in each direction of a connection.
struct HelloMessage {
  std::string instance;
  std::string zone;
  RowVersion epoch = 0;  // 0: not a member

  friend bool operator==(const HelloMessage& a, const HelloMessage& b) {
    return std::tie(a.instance, a.zone, a.epoch) == std::tie(b.instance, b.zone, b.epoch);
  }
};

// Heartbeat. The answer ("pong") repeats `seq` and carries the digest of the answering instance.
struct PingMessage {
  uint64_t seq = 0;
  bool answer = false;
  PeerDigest digest;  // sent in an answer only

  friend bool operator==(const PingMessage& a, const PingMessage& b) {
    return std::tie(a.seq, a.answer, a.digest) == std::tie(b.seq, b.answer, b.digest);
  }
};

// Accepted configuration patches in ascending order of version.
struct ConfigEntriesMessage {
  std::vector<ConfigEntry> entries;

  friend bool operator==(const ConfigEntriesMessage& a, const ConfigEntriesMessage& b) {
    return a.entries == b.entries;
  }
};

// Requests the patches after a version, or the whole document.
struct ConfigFetchMessage {
  uint64_t after = 0;
  bool snapshot = false;

  friend bool operator==(const ConfigFetchMessage& a, const ConfigFetchMessage& b) {
    return a.after == b.after && a.snapshot == b.snapshot;
  }
};

struct ConfigSnapshotMessage {
  uint64_t version = 0;
  nlohmann::json document;

  friend bool operator==(const ConfigSnapshotMessage& a, const ConfigSnapshotMessage& b) {
    return a.version == b.version && a.document == b.document;
  }
};

// Announces a change to `topic`, which the receiver then reads from the table service.
struct NotifyMessage {
  std::string topic;
  nlohmann::json payload;

  friend bool operator==(const NotifyMessage& a, const NotifyMessage& b) {
    return a.topic == b.topic && a.payload == b.payload;
  }
};

// Reports that targets crashed while they ran requests with this fingerprint. The time to live is
// relative because the clocks of two machines may differ.
struct SuspectMessage {
  std::string fingerprint;
  int64_t crash_count = 0;
  int64_t ttl_ms = 0;

  friend bool operator==(const SuspectMessage& a, const SuspectMessage& b) {
    return std::tie(a.fingerprint, a.crash_count, a.ttl_ms) ==
           std::tie(b.fingerprint, b.crash_count, b.ttl_ms);
  }
};

// A message of a type that this version does not recognize.
struct UnknownMessage {
  std::string type;

  friend bool operator==(const UnknownMessage& a, const UnknownMessage& b) {
    return a.type == b.type;
  }
};

using PeerMessage =
    std::variant<HelloMessage, PingMessage, ConfigEntriesMessage, ConfigFetchMessage,
                 ConfigSnapshotMessage, NotifyMessage, SuspectMessage, UnknownMessage>;

std::string EncodePeerMessage(const PeerMessage& message);

Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace anvilcroft

#endif  // ANVILCROFT_PEER_MESSAGE_H_
