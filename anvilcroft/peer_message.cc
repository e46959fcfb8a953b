#include "anvilcroft/peer_message.h"

#include <array>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr int kProtocolVersion = 1;
constexpr std::size_t kMaxEntries = 64;
constexpr std::size_t kMaxNameBytes = 256;

json Encode(const HelloMessage& message) {
  return {{"type", "hello"},
          {"instance", message.instance},
          {"zone", message.zone},
          {"epoch", message.epoch}};
}

// Pings make up most of the control traffic, which must stay within 2 KB/s for an instance with 8
// peers. To save bytes, only the answer carries a digest, and as an array without field names.
json Encode(const PingMessage& message) {
  if (!message.answer) return {{"type", "ping"}, {"seq", message.seq}};
  const PeerDigest& digest = message.digest;
  return {{"type", "pong"},
          {"seq", message.seq},
          {"digest", json::array({digest.config_version, digest.roster_version,
                                  digest.weights_version, digest.confirmed_age_ms})}};
}

json Encode(const ConfigEntriesMessage& message) {
  json entries = json::array();
  for (const ConfigEntry& entry : message.entries) entries.push_back(EncodeConfigEntry(entry));
  return {{"type", "config_entries"}, {"entries", std::move(entries)}};
}

json Encode(const ConfigFetchMessage& message) {
  return {{"type", "config_fetch"}, {"after", message.after}, {"snapshot", message.snapshot}};
}

json Encode(const ConfigSnapshotMessage& message) {
  return {
      {"type", "config_snapshot"}, {"version", message.version}, {"document", message.document}};
}

json Encode(const NotifyMessage& message) {
  return {{"type", "notify"}, {"topic", message.topic}, {"payload", message.payload}};
}

json Encode(const SuspectMessage& message) {
  return {{"type", "suspect"},
          {"fingerprint", message.fingerprint},
          {"deaths", message.crash_count},
          {"ttl_ms", message.ttl_ms}};
}

json Encode(const UnknownMessage& message) { return {{"type", message.type}}; }

uint64_t ReadVersion(JsonFields& fields, const char* key) {
  return static_cast<uint64_t>(fields.Integer(key, 0, INT64_MAX));
}

PingMessage DecodePing(JsonFields& fields, bool answer) {
  constexpr std::size_t kDigestFields = 4;
  constexpr int64_t kMaxAgeMs = INT64_MAX / 1'000'000;  // fits into nanoseconds
  PingMessage message;
  message.answer = answer;
  message.seq = ReadVersion(fields, "seq");
  if (!answer) return message;
  const json& digest = fields.Array("digest", kDigestFields);
  std::array<int64_t, kDigestFields> values{};
  for (std::size_t i = 0; i < kDigestFields; ++i) {
    const bool integer = i < digest.size() && digest[i].is_number_integer();
    if (integer) values[i] = digest[i].get<int64_t>();
    // An unsigned number above INT64_MAX is read as a negative number.
    const bool in_range = values[i] >= 0 || (i == 3 && digest[i].is_number_integer() &&
                                             !digest[i].is_number_unsigned() && values[i] == -1);
    if (!integer || !in_range) {
      fields.RecordError("digest", "must be an array of four integers within their ranges");
      return message;
    }
  }
  if (values[3] > kMaxAgeMs) fields.RecordError("digest", "contains an age that is out of range");
  message.digest.config_version = static_cast<uint64_t>(values[0]);
  message.digest.roster_version = static_cast<uint64_t>(values[1]);
  message.digest.weights_version = static_cast<uint64_t>(values[2]);
  message.digest.confirmed_age_ms = values[3];
  return message;
}

Result<PeerMessage> DecodeEntries(JsonFields& fields) {
  ConfigEntriesMessage message;
  for (const json& item : fields.Array("entries", kMaxEntries)) {
    auto entry = DecodeConfigEntry(item);
    if (!entry) return tl::unexpected<Error>(entry.error());
    message.entries.push_back(std::move(*entry));
  }
  return PeerMessage(std::move(message));
}

Result<PeerMessage> DecodeBody(const std::string& type, JsonFields& fields) {
  if (type == "hello") {
    return PeerMessage(HelloMessage{fields.String("instance", kMaxNameBytes),
                                    fields.String("zone", kMaxNameBytes),
                                    ReadVersion(fields, "epoch")});
  }
  if (type == "ping" || type == "pong") return PeerMessage(DecodePing(fields, type == "pong"));
  if (type == "config_entries") return DecodeEntries(fields);
  if (type == "config_fetch") {
    return PeerMessage(
        ConfigFetchMessage{ReadVersion(fields, "after"), fields.BoolOr("snapshot", false)});
  }
  if (type == "config_snapshot") {
    return PeerMessage(
        ConfigSnapshotMessage{ReadVersion(fields, "version"), fields.Object("document")});
  }
  if (type == "notify") {
    return PeerMessage(
        NotifyMessage{fields.String("topic", kMaxNameBytes), fields.Optional("payload")});
  }
  if (type == "suspect") {
    constexpr int64_t kMaxCrashCount = 1'000'000;
    constexpr int64_t kMaxTtlMs = 24LL * 3600 * 1000;
    return PeerMessage(SuspectMessage{fields.String("fingerprint", kMaxNameBytes),
                                      fields.Integer("deaths", 0, kMaxCrashCount),
                                      fields.Integer("ttl_ms", 0, kMaxTtlMs)});
  }
  return PeerMessage(UnknownMessage{type});
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  json map = std::visit([](const auto& body) { return Encode(body); }, message);
  map["v"] = kProtocolVersion;
  std::string bytes;
  json::to_cbor(map, bytes);
  return bytes;
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return Fail(ErrorCode::kTooLarge, "the message is larger than 1 MiB");
  }
  const auto map = ParseCbor(bytes);
  if (!map) return tl::unexpected<Error>(map.error());
  JsonFields fields(*map, "");
  const std::string type = fields.String("type", 64);
  fields.Integer("v", kProtocolVersion, INT64_MAX);
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  auto message = DecodeBody(type, fields);
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  return message;
}

}  // namespace anvilcroft
