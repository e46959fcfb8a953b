#ifndef ANVILCROFT_ERROR_H_
#define ANVILCROFT_ERROR_H_

// Error values.
//
// A function that can fail returns Result<T>. An Error holds a code from the list below, a message,
// the part of the input that caused it, and whether the requested work ran. Exceptions are not used
// to report errors, and only a violated invariant aborts the process.

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <tuple>

namespace anvilcroft {

// Whether the work of a rejected or failed request ran. kNo is a guarantee: no byte of the request
// reached a target, neither from this instance nor from an earlier one.
enum class Ran { kNo, kYes, kUnknown };

// Error codes. ErrorCodeName returns the name used on the wire; docs/api.md lists all of them.
enum class ErrorCode {
  kInvalidArgument,   // the request or input is malformed
  kNotFound,          // no such service, operation, row or path
  kTooLarge,          // a size, count or depth limit was exceeded
  kConflict,          // a condition did not hold (row version, claim held by another)
  kStaleBase,         // a patch names a version that is not the current one
  kInvalidPatch,      // the document that results from a patch is not valid
  kKeyRequired,       // a request for an operation that is not repeatable has no idempotency key
  kKeyReused,         // the idempotency key was used for a different request
  kOverloaded,        // the queue is full or the expected wait exceeds the deadline
  kDeadlineExceeded,  // the deadline passed
  kNoTarget,          // no eligible target
  kIsolated,          // the instance cannot confirm its configuration
  kNotReady,          // the instance has not joined yet or is stopping
  kNoLease,           // the instance holds no valid lease
  kStoreUnavailable,  // the table service or object store did not respond
  kOutcomeUnknown,    // the work may or may not have run
  kCrashesTargets,    // the request crashed targets that ran it
  kConnectFailed,     // no connection could be established
  kConnectionLost,    // the connection ended before the whole response was received
  kBadResponse,       // the response is malformed, too large or belongs to another request
  kLeaving,           // the target accepts no new work
  kOldFencing,        // an order carried an outdated fencing token
  kSwapFailed,        // the target could not load the ordered model, adapter or weights
  kStaleVersion,      // the weight version is lower than the recorded one
  kCancelled,         // the requester cancelled the work
  kInternal,          // none of the above
};

// Name of `code` on the wire, in snake case, for example "stale_base".
const char* ErrorCodeName(ErrorCode code);

// The code whose name is `name`, or nullopt.
std::optional<ErrorCode> ParseErrorCode(const std::string& name);

// Name of `ran` on the wire: "no", "yes" or "unknown".
const char* RanName(Ran ran);

// Describes one failure. The With functions return a changed copy.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;  // a short human-readable description
  std::string part;     // the field, header, key or row that caused the error; may be empty
  Ran ran = Ran::kNo;   // whether the requested work ran

  Error WithRan(Ran value) const;
  Error WithPart(std::string value) const;

  friend bool operator==(const Error& a, const Error& b) {
    return std::tie(a.code, a.message, a.part, a.ran) == std::tie(b.code, b.message, b.part, b.ran);
  }
  friend bool operator!=(const Error& a, const Error& b) { return !(a == b); }
};

template <typename T>
using Result = tl::expected<T, Error>;

// Returns an error that converts to any Result<T>.
tl::unexpected<Error> Fail(ErrorCode code, std::string message, std::string part = "",
                           Ran ran = Ran::kNo);

}  // namespace anvilcroft

// Aborts the process if `condition` is false and prints the file and line. Only for invariants of
// the program, never for input.
#define ANVILCROFT_CHECK(condition)                                      \
  do {                                                                   \
    if (!(condition)) {                                                  \
      ::anvilcroft::detail::CheckFailed(__FILE__, __LINE__, #condition); \
    }                                                                    \
  } while (false)

namespace anvilcroft::detail {
[[noreturn]] void CheckFailed(const char* file, int line, const char* condition);
}  // namespace anvilcroft::detail

#endif  // ANVILCROFT_ERROR_H_
