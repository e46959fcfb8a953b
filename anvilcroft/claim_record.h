#ifndef ANVILCROFT_CLAIM_RECORD_H_
#define ANVILCROFT_CLAIM_RECORD_H_

// The value of a row of table `claims`: which request an idempotency key belongs to and its
// outcome. Immutable once decoded.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct ClaimRecord {
  // kReleased is a tombstone: the request was refused before its dispatch. The row is kept at a new
  // version, so that a claim transaction still in flight conflicts instead of applying afterwards.
  enum class State { kClaimed, kDone, kUnknown, kReleased };

  State state = State::kClaimed;
  std::string instance;     // id of the instance that made the claim
  std::string nonce;        // unique to the claim
  std::string fingerprint;  // CrashGuard::Fingerprint of the request
  std::string request_id;
  WallMillis at_ms = 0;  // time of the claim, for display only
  // The recorded response, if the state is kDone.
  int64_t status = 0;
  std::string content_type;
  std::string target;
  std::string body;
  // Whether the body was too large for the row.
  bool body_omitted = false;

  friend bool operator==(const ClaimRecord& a, const ClaimRecord& b) {
    return std::tie(a.state, a.instance, a.nonce, a.fingerprint, a.request_id, a.at_ms, a.status,
                    a.content_type, a.target, a.body, a.body_omitted) ==
           std::tie(b.state, b.instance, b.nonce, b.fingerprint, b.request_id, b.at_ms, b.status,
                    b.content_type, b.target, b.body, b.body_omitted);
  }
  friend bool operator!=(const ClaimRecord& a, const ClaimRecord& b) { return !(a == b); }
};

// Largest recorded body, bytes: several records and their JSON escapes must fit into one
// transaction of 1 MiB.
constexpr std::size_t kMaxRecordedBody = 128 << 10;

const char* ClaimStateName(ClaimRecord::State state);
nlohmann::json EncodeClaim(const ClaimRecord& record);
Result<ClaimRecord> DecodeClaim(const nlohmann::json& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_CLAIM_RECORD_H_
