#include "anvilcroft/claim_settler.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "claims";
constexpr Duration kAttemptTimeout = seconds(5);
constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = seconds(5);

}  // namespace

const char kClaimsTable[] = "claims";

ClaimSettler::ClaimSettler(Runtime& runtime, CommitHook commit, ReadHook read)
    : runtime(runtime), commit(std::move(commit)), read(std::move(read)) {}

void ClaimSettler::Settle(ClaimSettlement settlement) {
  if (*this->unsettled >= kMaxUnsettled) {
    LogWarning(kPart,
               "too many claims are being settled; the row of this key keeps the state claimed",
               {{"key", settlement.key}});
    return;
  }
  ++*this->unsettled;
  this->runtime.Spawn([this, settlement = std::move(settlement)](Task& task) {
    this->Run(task, settlement);
    --*this->unsettled;
  });
}

void ClaimSettler::Run(Task& task, ClaimSettlement settlement) {
  const TimePoint late_until = SteadyNow() + kLateApplyWindow;
  Duration pause = kFirstPause;
  while (!this->TryOnce(task, settlement, late_until)) {
    SleepUntil(task, SteadyNow() + pause);
    pause = std::min(2 * pause, kLongestPause);
  }
}

bool ClaimSettler::TryOnce(Task& task, ClaimSettlement& settlement, TimePoint late_until) {
  if (settlement.version == 0) {
    const auto row = this->read(task, kClaimsTable, settlement.key, SteadyNow() + kAttemptTimeout);
    if (!row) return false;
    if (!*row) return SteadyNow() >= late_until;
    const auto found = DecodeClaim((*row)->value);
    if (!found || found->nonce != settlement.nonce) return true;
    if (found->state == ClaimRecord::State::kDone) return true;
    if (found->state == settlement.record.state) return true;
    settlement.version = (*row)->version;
  }
  const auto committed =
      this->commit(task,
                   Transaction::Builder()
                       .CheckVersion(kClaimsTable, settlement.key, settlement.version)
                       .Put(kClaimsTable, settlement.key, EncodeClaim(settlement.record))
                       .Build(),
                   SteadyNow() + kAttemptTimeout);
  if (committed) return true;
  // The write may have applied, or the row has another version: the next attempt reads it first.
  const Error& error = committed.error();
  if (error.code == ErrorCode::kConflict || error.ran != Ran::kNo) settlement.version = 0;
  return false;
}

}  // namespace anvilcroft
