#include "anvilcroft/at_most_once.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/log.h"
#include "anvilcroft/trace_context.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "claims";
constexpr Duration kFirstPause = milliseconds(20);
constexpr Duration kLongestPause = milliseconds(500);
// A claim whose instance is missing from the roster for this long will not be completed. A
// roster that is a few seconds old may lack an instance that has just joined.
constexpr Duration kMissingClaimant = seconds(5);

std::string RowKey(const std::string& service, const std::string& key) {
  return service + "/" + key;
}

tl::unexpected<Error> OutcomeUnknown(const std::string& message) {
  return Fail(ErrorCode::kOutcomeUnknown, message, "Idempotency-Key", Ran::kUnknown);
}

// What a settled row means to a later request with its key; nullopt for a claim that is open.
std::optional<Result<WorkResult>> Replay(const ClaimRecord& record) {
  switch (record.state) {
    case ClaimRecord::State::kClaimed:
      return std::nullopt;
    case ClaimRecord::State::kUnknown:
      return Result<WorkResult>(OutcomeUnknown("an earlier request with the key got no response"));
    case ClaimRecord::State::kDone:
      break;
  }
  if (record.body_omitted) {
    return Result<WorkResult>(Fail(ErrorCode::kTooLarge,
                                   "the work ran, but its response was too large to be recorded",
                                   "Idempotency-Key", Ran::kYes));
  }
  return Result<WorkResult>(WorkResult::Builder()
                                .SetStatus(static_cast<int>(record.status))
                                .SetContentType(record.content_type)
                                .SetBody(record.body)
                                .SetTargetId(record.target)
                                .SetReplayed(true)
                                .Build());
}

}  // namespace

AtMostOnce::AtMostOnce(Runtime& runtime, ClusterView view, CommitHook commit, ReadHook read,
                       uint64_t seed)
    : view(std::move(view)),
      commit(commit),
      read(read),
      random(seed),
      settler(runtime, std::move(commit), std::move(read)) {}

Result<WorkResult> AtMostOnce::Run(Task& task, const WorkItem& item, const Hooks& hooks) {
  const std::string row_key = RowKey(item.request.Service(), item.request.IdempotencyKey());
  auto result = this->RunProtocol(task, item, row_key, hooks);
  // A refusal says that nothing ran only if no earlier request with the key was dispatched. The
  // row tells; while it cannot be read, this instance's own memory is what is left.
  if (!result && result.error().ran == Ran::kNo && result.error().code != ErrorCode::kKeyReused &&
      this->remembered.count(row_key) != 0) {
    return tl::unexpected<Error>(result.error().WithRan(Ran::kUnknown));
  }
  return result;
}

Result<WorkResult> AtMostOnce::RunProtocol(Task& task, const WorkItem& item,
                                           const std::string& row_key, const Hooks& hooks) {
  while (true) {
    if (const auto entered = hooks.enter(task); !entered) {
      return tl::unexpected<Error>(entered.error());
    }
    const auto claim = this->TryClaim(task, item, row_key);
    if (!claim) return tl::unexpected<Error>(claim.error());
    if (claim->mine) return this->Dispatch(task, item, row_key, *claim, hooks);
    hooks.leave();
    if (auto outcome = this->Await(task, item, row_key, *claim)) return *outcome;
    // The earlier request was refused before its dispatch and its claim is gone.
  }
}

Result<AtMostOnce::Claim> AtMostOnce::TryClaim(Task& task, const WorkItem& item,
                                               const std::string& row_key) {
  const TimePoint deadline = item.request.Deadline();
  Claim own;
  own.mine = true;
  own.record.instance = this->view.self;
  // The instance and its epoch make the nonce unique whatever the generator's seed.
  own.record.nonce = this->view.self + "." + std::to_string(this->view.epoch()) + "." +
                     RandomHex(this->random, 16);
  own.record.fingerprint = item.fingerprint;
  own.record.request_id = item.request.RequestId();
  own.record.at_ms = WallNow();
  const Transaction transaction = Transaction::Builder()
                                      .CheckAbsent(kClaimsTable, row_key)
                                      .Put(kClaimsTable, row_key, EncodeClaim(own.record))
                                      .Build();
  bool may_apply = false;  // a transaction of ours may have applied, or still apply
  bool occupied = false;   // the last answer says that a row exists
  Error error{ErrorCode::kDeadlineExceeded, "the deadline passed before the claim", "", Ran::kNo};
  Duration pause = kFirstPause;
  while (SteadyNow() < deadline) {
    const bool allowed = this->view.holds_lease(SteadyNow());
    if (allowed) {
      const auto committed = this->commit(task, transaction, deadline);
      if (committed) {
        own.version = *committed;
        return own;
      }
      error = committed.error();
      occupied = error.code == ErrorCode::kConflict;
      may_apply = may_apply || error.ran != Ran::kNo;
    } else {
      error = Error{ErrorCode::kNoLease, "this instance holds no lease", "", Ran::kNo};
    }
    if (!allowed || occupied || error.ran != Ran::kNo) {
      const auto found = this->ReadClaim(task, row_key, deadline);
      if (found && *found) {
        if ((*found)->record.nonce == own.record.nonce) {
          own.version = (*found)->version;
          return own;
        }
        if (may_apply) {
          this->settler.Settle({row_key, own.record.nonce, 0, std::nullopt});
        }
        return **found;
      }
      if (found) occupied = false;
    }
    if (!allowed) break;
    SleepUntil(task, std::min(deadline, SteadyNow() + pause));
    pause = std::min(2 * pause, kLongestPause);
  }
  if (may_apply) this->settler.Settle({row_key, own.record.nonce, 0, std::nullopt});
  if (error.code != ErrorCode::kNoLease && error.code != ErrorCode::kDeadlineExceeded) {
    error.code = ErrorCode::kStoreUnavailable;
  }
  // Our own claim was not dispatched; a row that could not be read may belong to one that was.
  error.ran = occupied ? Ran::kUnknown : Ran::kNo;
  return tl::unexpected<Error>(error);
}

Result<WorkResult> AtMostOnce::Dispatch(Task& task, const WorkItem& item,
                                        const std::string& row_key, const Claim& claim,
                                        const Hooks& hooks) {
  const TimePoint now = SteadyNow();
  Result<WorkResult> result;
  if (now >= item.request.Deadline()) {
    result = Fail(ErrorCode::kDeadlineExceeded, "the deadline passed before the dispatch");
  } else if (!this->view.holds_lease(now)) {
    result = Fail(ErrorCode::kNoLease, "the lease expired before the dispatch");
  } else {
    result = hooks.dispatch(task);
  }
  ClaimSettlement settlement{row_key, claim.record.nonce, claim.version, std::nullopt};
  if (!result && result.error().ran == Ran::kNo) {
    this->settler.Settle(std::move(settlement));
    return result;
  }
  this->Remember(row_key);
  ClaimRecord record = claim.record;
  if (!result) {
    record.state = ClaimRecord::State::kUnknown;
    settlement.record = record;
    this->settler.Settle(std::move(settlement));
    return OutcomeUnknown("the target gave no response: " + result.error().message);
  }
  record.state = ClaimRecord::State::kDone;
  record.status = result->Status();
  record.content_type = result->ContentType();
  record.target = result->TargetId();
  record.body = result->Body();
  const auto recorded = this->commit(task,
                                     Transaction::Builder()
                                         .CheckVersion(kClaimsTable, row_key, claim.version)
                                         .Put(kClaimsTable, row_key, EncodeClaim(record))
                                         .Build(),
                                     SteadyNow() + kRecordTime);
  if (!recorded) {
    LogWarning(kPart, "the record of a response is retried in the background",
               {{"key", row_key}, {"error", recorded.error().message}});
    const bool same_row =
        recorded.error().code != ErrorCode::kConflict && recorded.error().ran == Ran::kNo;
    if (!same_row) settlement.version = 0;
    settlement.record = record;
    this->settler.Settle(std::move(settlement));
  }
  return result;
}

std::optional<Result<WorkResult>> AtMostOnce::Await(Task& task, const WorkItem& item,
                                                    const std::string& row_key, Claim claim) {
  const TimePoint deadline = item.request.Deadline();
  TimePoint claimant_seen = SteadyNow();
  Duration pause = kFirstPause;
  while (true) {
    if (claim.record.fingerprint != item.fingerprint) {
      return Result<WorkResult>(
          Fail(ErrorCode::kKeyReused, "the key belongs to another request", "Idempotency-Key"));
    }
    if (auto outcome = Replay(claim.record)) return outcome;
    const TimePoint now = SteadyNow();
    if (this->view.roster()->Find(claim.record.instance) != nullptr) claimant_seen = now;
    if (now - claimant_seen >= kMissingClaimant) {
      // The claimant is gone. Its record, should it still come, replaces this one.
      ClaimRecord record = claim.record;
      record.state = ClaimRecord::State::kUnknown;
      this->settler.Settle({row_key, record.nonce, claim.version, record});
      return Result<WorkResult>(OutcomeUnknown("the instance that ran the request is gone"));
    }
    if (now + pause >= deadline) {
      return Result<WorkResult>(OutcomeUnknown("an earlier request with the key is under way"));
    }
    SleepUntil(task, now + pause);
    pause = std::min(2 * pause, kLongestPause);
    const auto found = this->ReadClaim(task, row_key, deadline);
    if (!found) continue;
    if (!*found) return std::nullopt;
    claim = **found;
  }
}

Result<std::optional<AtMostOnce::Claim>> AtMostOnce::ReadClaim(Task& task,
                                                               const std::string& row_key,
                                                               TimePoint deadline) {
  const auto row = this->read(task, kClaimsTable, row_key, deadline);
  if (!row) return tl::unexpected<Error>(row.error());
  if (!*row) return std::optional<Claim>();
  auto record = DecodeClaim((*row)->value);
  if (!record) {
    LogError(kPart, "a claim row is malformed", {{"key", row_key}, {"part", record.error().part}});
    return tl::unexpected<Error>(record.error());
  }
  Claim claim;
  claim.version = (*row)->version;
  claim.record = std::move(*record);
  return std::optional<Claim>(std::move(claim));
}

Result<std::optional<ClaimRecord>> AtMostOnce::Find(Task& task, const std::string& service,
                                                    const std::string& key, TimePoint deadline) {
  const auto found = this->ReadClaim(task, RowKey(service, key), deadline);
  if (!found) return tl::unexpected<Error>(found.error());
  if (!*found) return std::optional<ClaimRecord>();
  return std::optional<ClaimRecord>((*found)->record);
}

void AtMostOnce::Remember(const std::string& row_key) {
  if (!this->remembered.insert(row_key).second) return;
  this->remembered_order.push_back(row_key);
  if (this->remembered_order.size() <= kMaxRemembered) return;
  this->remembered.erase(this->remembered_order.front());
  this->remembered_order.pop_front();
}

}  // namespace anvilcroft
