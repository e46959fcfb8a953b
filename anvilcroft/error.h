#ifndef ANVILCROFT_ERROR_H_
#define ANVILCROFT_ERROR_H_

// Errors as values.
//
// A function that can fail returns Result<T>. An Error says what failed (a code from the fixed
// list below), in words, which part of the input is at fault, and whether the work that was asked
// for ran. Exceptions are not used for outcomes; only a broken invariant stops the process.

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <tuple>

namespace anvilcroft {

// Whether the work of a refused or failed request ran. kNo is a promise: no byte of the request
// reached a target, from this instance or an earlier one.
enum class Ran { kNo, kYes, kUnknown };

// What failed. ErrorCodeName gives the name used on the wire; docs/api.md lists them all.
enum class ErrorCode {
  kInvalidArgument,   // the request or input is malformed
  kNotFound,          // no such service, operation, row or path
  kTooLarge,          // a size, count or depth limit was exceeded
  kConflict,          // a condition did not hold (row version, claim held by another)
  kStaleBase,         // a patch names a version that is not the current one
  kInvalidPatch,      // a patch leads to a document that does not check
  kKeyRequired,       // an operation that may not be repeated came without a key
  kKeyReused,         // the idempotency key belongs to another request
  kOverloaded,        // the queue is full or the expected wait exceeds the deadline
  kDeadlineExceeded,  // the deadline passed
  kNoTarget,          // no eligible target
  kIsolated,          // the instance cannot confirm its configuration
  kNotReady,          // the instance has not joined yet or is stopping
  kNoLease,           // the instance holds no valid lease
  kStoreUnavailable,  // the table service or object store gave no answer
  kOutcomeUnknown,    // the work may or may not have run
  kCrashesTargets,    // the request is known to crash the targets that run it
  kConnectFailed,     // no connection could be made
  kConnectionLost,    // a connection ended before the whole answer came
  kBadResponse,       // the peer's answer is malformed or belongs to another request
  kLeaving,           // the target takes no new work
  kOldFencing,        // an order carried an old fencing token
  kSwapFailed,        // a target could not load what it was ordered to load
  kStaleVersion,      // a lower weight version than the recorded one
  kCancelled,         // the work was cancelled by its requester
  kInternal,          // none of the above
};

// Name of `code` on the wire, in snake case, for example "stale_base".
const char* ErrorCodeName(ErrorCode code);

// The code whose name is `name`, or nullopt.
std::optional<ErrorCode> ParseErrorCode(const std::string& name);

// Name of `ran` on the wire: "no", "yes" or "unknown".
const char* RanName(Ran ran);

// One failure. Immutable once made, except through the With functions, which return a copy.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;  // a short sentence for people
  std::string part;     // the offending field, header, key or row; may be empty
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

// Makes the error branch of a Result. `ran` defaults to kNo.
tl::unexpected<Error> Fail(ErrorCode code, std::string message, std::string part = "",
                           Ran ran = Ran::kNo);

}  // namespace anvilcroft

// Stops the process with the file and line: for broken invariants only, never for bad input.
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
