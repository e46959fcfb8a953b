#ifndef ANVILCROFT_AT_MOST_ONCE_H_
#define ANVILCROFT_AT_MOST_ONCE_H_

// Runs non-repeatable work at most once per idempotency key, across all instances.
//
// The key's row in table `claims` is the only authority: only the request whose nonce is in the row
// dispatches the work. The protocol is described in docs/design.md, "At most once".

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "anvilcroft/claim_record.h"
#include "anvilcroft/claim_settler.h"
#include "anvilcroft/cluster_view.h"
#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/store_hooks.h"
#include "anvilcroft/work_item.h"
#include "anvilcroft/work_result.h"

namespace anvilcroft {

class AtMostOnce {
 public:
  // Steps of the request path that the protocol calls for one request.
  struct Hooks {
    // Acquires a slot of the service's in-flight window; called before the key is claimed.
    std::function<Result<void>(Task&)> admit;
    // Releases the slot before waiting for another request with the same key.
    std::function<void()> release_permit;
    // Runs the work. An error with ran = kNo guarantees that no byte of it reached a target.
    std::function<Result<WorkResult>(Task&)> dispatch;
  };

  // Maximum time that a response is delayed to record it; later attempts run in the background.
  static constexpr Duration kRecordTimeout = seconds(1);
  AtMostOnce(Runtime& runtime, ClusterView view, CommitHook commit, ReadHook read, uint64_t seed);

  // Time limit for reading the key's row before a refusal, and for writing the tombstone.
  static constexpr Duration kRefusalTimeout = seconds(1);

  // Runs `item`, or returns the outcome of an earlier request with its key. Errors besides those of
  // the hooks: kKeyReused, kNoLease, kDeadlineExceeded, kStoreUnavailable, kOutcomeUnknown, and
  // kTooLarge (ran = yes) if the recorded response has no body. Apart from kKeyReused, an error has
  // ran = no only if a tombstone in the key's row is confirmed: then nothing has run under the key,
  // and no concurrent request with the key will run.
  Result<WorkResult> Run(Task& task, const WorkItem& item, const Hooks& hooks);

  // Returns the result of a request that is refused with `error` before Run: the outcome of an
  // earlier request with its key, or `error` with ran = no if a tombstone is confirmed as in Run,
  // and with ran = unknown otherwise.
  Result<WorkResult> Refuse(Task& task, const WorkItem& item, const Error& error);

  // Returns the claim record of a key, or nullopt if there is none. Fails with kStoreUnavailable,
  // or with kInvalidArgument if the row is malformed.
  Result<std::optional<ClaimRecord>> Find(Task& task, const std::string& service,
                                          const std::string& key, TimePoint deadline);

  // Whether no claim row is being settled in the background.
  bool Settled() const { return this->settler.Unsettled() == 0; }

 private:
  // The key's row as it was last read or written. Version 0: the row does not exist.
  struct Claim {
    bool owned = false;  // this request made the claim
    RowVersion version = 0;
    ClaimRecord record;
  };

  Result<WorkResult> RunProtocol(Task& task, const WorkItem& item, const std::string& row_key,
                                 const Hooks& hooks);
  Result<Claim> ReadInitialClaim(Task& task, const std::string& row_key, TimePoint deadline);
  Result<Claim> TryClaim(Task& task, const WorkItem& item, const std::string& row_key,
                         RowVersion expected);
  ClaimRecord NewRecord(const WorkItem& item);
  Error Release(Task& task, const std::string& row_key, RowVersion expected, ClaimRecord record,
                const Error& error);
  Result<WorkResult> Dispatch(Task& task, const WorkItem& item, const std::string& row_key,
                              const Claim& claim, const Hooks& hooks);
  Result<WorkResult> Await(Task& task, const WorkItem& item, const std::string& row_key,
                           Claim claim);
  Result<Claim> ReadClaim(Task& task, const std::string& row_key, TimePoint deadline);

  ClusterView view;
  CommitHook commit;
  ReadHook read;
  std::mt19937_64 random;
  ClaimSettler settler;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_AT_MOST_ONCE_H_
