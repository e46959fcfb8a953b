#ifndef ANVILCROFT_CLAIM_SETTLER_H_
#define ANVILCROFT_CLAIM_SETTLER_H_

// Settles claims in the background, that is, writes the final state of their rows: the record of a
// response that the table service did not store in time, an unknown outcome, or the release of an
// unused claim.

#include <cstddef>
#include <memory>
#include <string>

#include "anvilcroft/claim_record.h"
#include "anvilcroft/row.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/store_hooks.h"

namespace anvilcroft {

// The final state of one row. The row is written only while its claim has `nonce`.
struct ClaimSettlement {
  std::string key;
  std::string nonce;
  // Version of the claim's row. 0 if it is unknown whether the claim was committed: the row is then
  // read first.
  RowVersion version = 0;
  ClaimRecord record;
};

class ClaimSettler {
 public:
  // Maximum number of settlements in progress. A further one is dropped: its row stays `claimed`,
  // which a later request with the key reports as an unknown outcome.
  static constexpr int kMaxUnsettled = 1024;
  // A transaction whose answer was lost may still apply for this long: the client's timeout of 2 s
  // for an attempt, and delays in the table service.
  static constexpr Duration kLateApplyWindow = seconds(10);

  ClaimSettler(Runtime& runtime, CommitHook commit, ReadHook read);

  // Starts a settlement. It is retried until the row is final or belongs to another claim.
  void Settle(ClaimSettlement settlement);

  // Number of settlements in progress.
  std::size_t Unsettled() const { return static_cast<std::size_t>(*this->unsettled); }

 private:
  void Run(Task& task, ClaimSettlement settlement);
  // Makes one attempt. Returns whether the settlement needs no further one. A missing row counts as
  // settled from `late_until` on, when a lost claim transaction can no longer apply.
  bool TryOnce(Task& task, ClaimSettlement& settlement, TimePoint late_until);

  Runtime& runtime;
  CommitHook commit;
  ReadHook read;
  std::shared_ptr<int> unsettled = std::make_shared<int>(0);
};

// The table that holds claims.
extern const char kClaimsTable[];

}  // namespace anvilcroft

#endif  // ANVILCROFT_CLAIM_SETTLER_H_
