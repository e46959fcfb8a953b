#ifndef ANVILCROFT_AT_MOST_ONCE_H_
#define ANVILCROFT_AT_MOST_ONCE_H_

// Runs work that may not be repeated at most once for each idempotency key, over all instances.
//
// The key's row in table `claims` is the only authority: work is dispatched only by the request
// whose nonce the row carries. The protocol is described in docs/design.md, "At most once".

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <set>
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
  // Most keys remembered as dispatched by this instance.
  static constexpr std::size_t kMaxRemembered = 8192;

  AtMostOnce(Runtime& runtime, ClusterView view, CommitHook commit, ReadHook read, uint64_t seed);

  // Runs `item`, or returns what an earlier request with its key led to. Errors besides those of
  // the hooks: kKeyReused, kNoLease and kStoreUnavailable with ran = no; kOutcomeUnknown.
  Result<WorkResult> Run(Task& task, const WorkItem& item, const Hooks& hooks);

  // The record of a key, or nullopt. Fails with kStoreUnavailable.
  Result<std::optional<ClaimRecord>> Find(Task& task, const std::string& service,
                                          const std::string& key, TimePoint deadline);

  // Whether no record or release is waiting for the table service.
  bool Settled() const { return this->settler.Unsettled() == 0; }

 private:
  // The row of the key after a try to claim.
  struct Claim {
    bool mine = false;
    RowVersion version = 0;
    ClaimRecord record;
  };

  Result<WorkResult> RunProtocol(Task& task, const WorkItem& item, const std::string& row_key,
                                 const Hooks& hooks);
  Result<Claim> TryClaim(Task& task, const WorkItem& item, const std::string& row_key);
  Result<WorkResult> Dispatch(Task& task, const WorkItem& item, const std::string& row_key,
                              const Claim& claim, const Hooks& hooks);
  std::optional<Result<WorkResult>> Await(Task& task, const WorkItem& item,
                                          const std::string& row_key, Claim claim);
  Result<std::optional<Claim>> ReadClaim(Task& task, const std::string& row_key,
                                         TimePoint deadline);
  void Remember(const std::string& row_key);

  ClusterView view;
  CommitHook commit;
  ReadHook read;
  std::mt19937_64 random;
  ClaimSettler settler;
  std::set<std::string> remembered;
  std::deque<std::string> remembered_order;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_AT_MOST_ONCE_H_
