#ifndef ANVILCROFT_PERMIT_MESSAGE_H_
#define ANVILCROFT_PERMIT_MESSAGE_H_

// Messages between an instance and the keeper of a target's permits, encoded as CBOR, and the row
// by which instances learn of the limits of targets that have not answered them yet.

#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/metadata_store.h"
#include "anvilcroft/permit_schedule.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct PermitRequest {
  std::string target;
  WallMillis started_at = 0;         // start of the target
  std::optional<double> per_second;  // the target's limit, as the sender knows it; nullopt: none
  Duration age = Duration::zero();   // time since the target said so
  bool wanted = true;                // false: the message only tells the limit
  bool standby = false;              // the keeper has not answered
  Duration max_wait = Duration::zero();

  friend bool operator==(const PermitRequest& a, const PermitRequest& b) {
    return std::tie(a.target, a.started_at, a.per_second, a.age, a.wanted, a.standby, a.max_wait) ==
           std::tie(b.target, b.started_at, b.per_second, b.age, b.wanted, b.standby, b.max_wait);
  }
  friend bool operator!=(const PermitRequest& a, const PermitRequest& b) { return !(a == b); }
};

std::string EncodePermitRequest(const PermitRequest& request);
// Fails if `value` is not a valid request.
Result<PermitRequest> DecodePermitRequest(const std::string& value);

std::string EncodePermitAnswer(const PermitAnswer& answer);
// Fails if `value` is not a valid answer.
Result<PermitAnswer> DecodePermitAnswer(const std::string& value);

// The limit of a target in the metadata store.
struct LimitRow {
  WallMillis started_at = 0;  // start of the target
  double per_second = 0;
  StoreMillis said_at = 0;  // on the store's clock

  friend bool operator==(const LimitRow& a, const LimitRow& b) {
    return std::tie(a.started_at, a.per_second, a.said_at) ==
           std::tie(b.started_at, b.per_second, b.said_at);
  }
  friend bool operator!=(const LimitRow& a, const LimitRow& b) { return !(a == b); }
};

std::string EncodeLimitRow(const LimitRow& row);
// Fails if `value` is not a valid row.
Result<LimitRow> DecodeLimitRow(const std::string& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_PERMIT_MESSAGE_H_
