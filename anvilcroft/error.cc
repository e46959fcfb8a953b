#include "anvilcroft/error.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace anvilcroft {

const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kStaleBase:
      return "stale_base";
    case ErrorCode::kInvalidPatch:
      return "invalid_patch";
    case ErrorCode::kKeyRequired:
      return "key_required";
    case ErrorCode::kKeyReused:
      return "key_reused";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kNoTarget:
      return "no_target";
    case ErrorCode::kIsolated:
      return "isolated";
    case ErrorCode::kNotReady:
      return "not_ready";
    case ErrorCode::kNoLease:
      return "no_lease";
    case ErrorCode::kStoreUnavailable:
      return "store_unavailable";
    case ErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::kCrashesTargets:
      return "request_crashes_targets";
    case ErrorCode::kConnectFailed:
      return "connect_failed";
    case ErrorCode::kConnectionLost:
      return "connection_lost";
    case ErrorCode::kBadResponse:
      return "bad_response";
    case ErrorCode::kLeaving:
      return "leaving";
    case ErrorCode::kOldFencing:
      return "old_fencing";
    case ErrorCode::kSwapFailed:
      return "swap_failed";
    case ErrorCode::kStaleVersion:
      return "stale_version";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::optional<ErrorCode> ParseErrorCode(const std::string& name) {
  // kInternal is the last enumerator.
  for (int i = 0; i <= static_cast<int>(ErrorCode::kInternal); ++i) {
    const auto code = static_cast<ErrorCode>(i);
    if (name == ErrorCodeName(code)) return code;
  }
  return std::nullopt;
}

const char* RanName(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Error Error::WithRan(Ran value) const {
  Error copy = *this;
  copy.ran = value;
  return copy;
}

Error Error::WithPart(std::string value) const {
  Error copy = *this;
  copy.part = std::move(value);
  return copy;
}

tl::unexpected<Error> Fail(ErrorCode code, std::string message, std::string part, Ran ran) {
  return tl::unexpected<Error>(Error{code, std::move(message), std::move(part), ran});
}

namespace detail {

void CheckFailed(const char* file, int line, const char* condition) {
  std::fprintf(stderr, "%s:%d: broken invariant: %s\n", file, line, condition);
  std::abort();
}

}  // namespace detail
}  // namespace anvilcroft
