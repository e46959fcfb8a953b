#ifndef ANVILCROFT_CLAIM_SETTLER_H_
#define ANVILCROFT_CLAIM_SETTLER_H_

// Brings claim rows of this instance into their final state in the background: a record that the
// store did not take in time, an unknown outcome, or the release of a claim that was not used.

#include <cstddef>
#include <memory>
#include <string>

#include "anvilcroft/claim_record.h"
#include "anvilcroft/row.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/store_hooks.h"

namespace anvilcroft {

// What one row should become. The row is touched only while it carries `nonce`.
struct ClaimSettlement {
  std::string key;
  std::string nonce;
  RowVersion version = 0;  // of the claim; 0 if it is not known whether it was made
  ClaimRecord record;
};

class ClaimSettler {
 public:
  // Most settlements under way. A further one is dropped: its row stays `claimed`, which a second
  // request with the key reports as an unknown outcome.
  static constexpr int kMaxUnsettled = 1024;
  // A transaction whose answer was lost may still apply for this long. The attempt's time limit
  // at the client is 2 s; the rest allows for delays in the store.
  static constexpr Duration kLateApply = seconds(10);

  ClaimSettler(Runtime& runtime, CommitHook commit, ReadHook read);

  // Starts a settlement. It is tried until it is done or the row is not ours any more.
  void Settle(ClaimSettlement settlement);

  // Number of settlements under way.
  std::size_t Unsettled() const { return static_cast<std::size_t>(*this->unsettled); }

 private:
  void Run(Task& task, ClaimSettlement settlement);
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
