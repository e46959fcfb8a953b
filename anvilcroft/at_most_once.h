#ifndef ANVILCROFT_AT_MOST_ONCE_H_
#define ANVILCROFT_AT_MOST_ONCE_H_

// Runs work that may not be repeated at most once for each idempotency key, over all instances.
//
// The key's row in table `claims` is the only authority: work is dispatched only by the request
// whose nonce the row carries. The protocol is described in docs/design.md, "At most once".

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
  // What the protocol asks of the rest of the request path for one request.
  struct Hooks {
    // Enters the service's window; called before each try to claim.
    std::function<Result<void>(Task&)> enter;
    // Gives the place up while another request with the key is awaited.
    std::function<void()> leave;
    // Runs the work. An error with ran = kNo promises that no byte of it reached a target.
    std::function<Result<WorkResult>(Task&)> dispatch;
  };

  // Longest time that a response waits for its record.
  static constexpr Duration kRecordTime = seconds(1);
  AtMostOnce(Runtime& runtime, ClusterView view, CommitHook commit, ReadHook read, uint64_t seed);

  // Longest time to confirm that a refusal is true.
  static constexpr Duration kRefusalTime = seconds(1);

  // Runs `item`, or returns what an earlier request with its key led to. Errors besides those of
  // the hooks: kKeyReused, kNoLease, kStoreUnavailable and kOutcomeUnknown. An error has ran = no
  // only if a tombstone in the key's row is confirmed: then nothing has run under the key, and no
  // request that was under way with it will run.
  Result<WorkResult> Run(Task& task, const WorkItem& item, const Hooks& hooks);

  // The result of a request that is refused with `error` before Run: what an earlier request with
  // its key led to, or `error` with its `ran` made true in the same way as by Run.
  Result<WorkResult> Refuse(Task& task, const WorkItem& item, const Error& error);

  // The record of a key, or nullopt. Fails with kStoreUnavailable.
  Result<std::optional<ClaimRecord>> Find(Task& task, const std::string& service,
                                          const std::string& key, TimePoint deadline);

  // Whether no record or release is waiting for the table service.
  bool Settled() const { return this->settler.Unsettled() == 0; }

 private:
  // The row of the key as it was read, or after a try to claim. Version 0: there is no row.
  struct Claim {
    bool mine = false;
    RowVersion version = 0;
    ClaimRecord record;
  };

  Result<WorkResult> RunProtocol(Task& task, const WorkItem& item, const std::string& row_key,
                                 const Hooks& hooks);
  Result<Claim> ReadFirst(Task& task, const std::string& row_key, TimePoint deadline);
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
