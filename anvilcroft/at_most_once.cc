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

// Whether the row leaves a request that begins now free to claim the key.
bool Free(RowVersion version, const ClaimRecord& record) {
  return version == 0 || record.state == ClaimRecord::State::kReleased;
}

// What a settled row means to a later request with its key; nullopt for a claim that is open.
std::optional<Result<WorkResult>> Replay(const ClaimRecord& record) {
  switch (record.state) {
    case ClaimRecord::State::kClaimed:
      return std::nullopt;
    case ClaimRecord::State::kUnknown:
      return Result<WorkResult>(OutcomeUnknown("an earlier request with the key got no response"));
    case ClaimRecord::State::kReleased:
      // Refused after this request began, which therefore must not run any more.
      return Result<WorkResult>(OutcomeUnknown("another request with the key was refused"));
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
  const auto first = this->ReadFirst(task, row_key, item.request.Deadline());
  if (!first) return tl::unexpected<Error>(first.error());
  if (!Free(first->version, first->record)) return this->Await(task, item, row_key, *first);

  if (const auto entered = hooks.enter(task); !entered) {
    return tl::unexpected<Error>(
        this->Release(task, row_key, first->version, this->NewRecord(item), entered.error()));
  }
  const auto claim = this->TryClaim(task, item, row_key, first->version);
  if (!claim) return tl::unexpected<Error>(claim.error());
  if (claim->mine) return this->Dispatch(task, item, row_key, *claim, hooks);
  hooks.leave();
  return this->Await(task, item, row_key, *claim);
}

Result<WorkResult> AtMostOnce::Refuse(Task& task, const WorkItem& item, const Error& error) {
  const std::string row_key = RowKey(item.request.Service(), item.request.IdempotencyKey());
  const TimePoint deadline = std::min(item.request.Deadline(), SteadyNow() + kRefusalTime);
  const auto found = this->ReadClaim(task, row_key, deadline);
  if (!found) return tl::unexpected<Error>(error.WithRan(Ran::kUnknown));
  if (!Free(found->version, found->record)) {
    const bool same = found->record.fingerprint == item.fingerprint;
    const auto settled = same ? Replay(found->record) : std::nullopt;
    return settled ? *settled : tl::unexpected<Error>(error.WithRan(Ran::kUnknown));
  }
  return tl::unexpected<Error>(
      this->Release(task, row_key, found->version, this->NewRecord(item), error));
}

ClaimRecord AtMostOnce::NewRecord(const WorkItem& item) {
  ClaimRecord record;
  record.instance = this->view.self;
  // The instance and its epoch make the nonce unique whatever the generator's seed.
  record.nonce = this->view.self + "." + std::to_string(this->view.epoch()) + "." +
                 RandomHex(this->random, 16);
  record.fingerprint = item.fingerprint;
  record.request_id = item.request.RequestId();
  record.at_ms = WallNow();
  return record;
}

// Puts the tombstone over the row at version `expected` and returns `error` with ran = no if that
// is confirmed, and with ran = unknown otherwise.
Error AtMostOnce::Release(Task& task, const std::string& row_key, RowVersion expected,
                          ClaimRecord record, const Error& error) {
  record.state = ClaimRecord::State::kReleased;
  const TimePoint deadline = SteadyNow() + kRefusalTime;
  const auto committed = this->commit(task,
                                      Transaction::Builder()
                                          .CheckVersion(kClaimsTable, row_key, expected)
                                          .Put(kClaimsTable, row_key, EncodeClaim(record))
                                          .Build(),
                                      deadline);
  if (committed) return error.WithRan(Ran::kNo);
  if (committed.error().code != ErrorCode::kConflict) {
    const auto found = this->ReadClaim(task, row_key, deadline);
    if (found && found->version != 0 && found->record == record) return error.WithRan(Ran::kNo);
  }
  this->settler.Settle({row_key, record.nonce, 0, record});
  return error.WithRan(Ran::kUnknown);
}

// Reads the row with which the request begins. Without it nothing can be said about the key.
Result<AtMostOnce::Claim> AtMostOnce::ReadFirst(Task& task, const std::string& row_key,
                                                TimePoint deadline) {
  Duration pause = kFirstPause;
  while (true) {
    auto found = this->ReadClaim(task, row_key, deadline);
    if (found) return found;
    if (SteadyNow() + pause >= deadline) {
      return tl::unexpected<Error>(Error{
          ErrorCode::kStoreUnavailable,
          "the table service gives no answer; this request did not run, but an earlier one with "
          "the key may have",
          "Idempotency-Key", Ran::kUnknown});
    }
    SleepUntil(task, SteadyNow() + pause);
    pause = std::min(2 * pause, kLongestPause);
  }
}

Result<AtMostOnce::Claim> AtMostOnce::TryClaim(Task& task, const WorkItem& item,
                                               const std::string& row_key, RowVersion expected) {
  const TimePoint deadline = item.request.Deadline();
  Claim own;
  own.mine = true;
  own.record = this->NewRecord(item);
  const Transaction transaction = Transaction::Builder()
                                      .CheckVersion(kClaimsTable, row_key, expected)
                                      .Put(kClaimsTable, row_key, EncodeClaim(own.record))
                                      .Build();
  Error error{ErrorCode::kDeadlineExceeded, "the deadline passed before the claim", "", Ran::kNo};
  Duration pause = kFirstPause;
  while (SteadyNow() < deadline) {
    if (!this->view.holds_lease(SteadyNow())) {
      error = Error{ErrorCode::kNoLease, "this instance holds no lease", "", Ran::kNo};
      break;
    }
    const auto committed = this->commit(task, transaction, deadline);
    if (committed) {
      own.version = *committed;
      return own;
    }
    error = committed.error();
    // After a lost answer or a conflict, which may be with our own transaction, the row tells.
    if (error.ran != Ran::kNo || error.code == ErrorCode::kConflict) {
      const auto found = this->ReadClaim(task, row_key, deadline);
      if (found && found->version != expected) {
        own.version = found->version;
        if (found->record == own.record) return own;
        return *found;
      }
    }
    SleepUntil(task, std::min(deadline, SteadyNow() + pause));
    pause = std::min(2 * pause, kLongestPause);
  }
  if (error.code != ErrorCode::kNoLease && error.code != ErrorCode::kDeadlineExceeded) {
    error.code = ErrorCode::kStoreUnavailable;
  }
  return tl::unexpected<Error>(this->Release(task, row_key, expected, own.record, error));
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
  if (!result && result.error().ran == Ran::kNo) {
    return tl::unexpected<Error>(
        this->Release(task, row_key, claim.version, claim.record, result.error()));
  }
  ClaimRecord record = claim.record;
  if (!result) {
    record.state = ClaimRecord::State::kUnknown;
    this->settler.Settle({row_key, record.nonce, claim.version, record});
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
    this->settler.Settle({row_key, record.nonce, same_row ? claim.version : 0, record});
  }
  return result;
}

Result<WorkResult> AtMostOnce::Await(Task& task, const WorkItem& item, const std::string& row_key,
                                     Claim claim) {
  const TimePoint deadline = item.request.Deadline();
  TimePoint claimant_seen = SteadyNow();
  Duration pause = kFirstPause;
  while (true) {
    if (claim.record.fingerprint != item.fingerprint) {
      return Fail(ErrorCode::kKeyReused, "the key belongs to another request", "Idempotency-Key");
    }
    if (auto outcome = Replay(claim.record)) return *outcome;
    const TimePoint now = SteadyNow();
    if (this->view.roster()->Find(claim.record.instance) != nullptr) claimant_seen = now;
    if (now - claimant_seen >= kMissingClaimant) {
      // The claimant is gone. Its record, should it still come, replaces this one.
      ClaimRecord record = claim.record;
      record.state = ClaimRecord::State::kUnknown;
      this->settler.Settle({row_key, record.nonce, claim.version, record});
      return OutcomeUnknown("the instance that ran the request is gone");
    }
    if (now + pause >= deadline) {
      return OutcomeUnknown("an earlier request with the key is under way");
    }
    SleepUntil(task, now + pause);
    pause = std::min(2 * pause, kLongestPause);
    const auto found = this->ReadClaim(task, row_key, deadline);
    if (found && found->version != 0) claim = *found;
  }
}

Result<AtMostOnce::Claim> AtMostOnce::ReadClaim(Task& task, const std::string& row_key,
                                                TimePoint deadline) {
  const auto row = this->read(task, kClaimsTable, row_key, deadline);
  if (!row) return tl::unexpected<Error>(row.error());
  if (!*row) return Claim();
  auto record = DecodeClaim((*row)->value);
  if (!record) {
    LogError(kPart, "a claim row is malformed", {{"key", row_key}, {"part", record.error().part}});
    return tl::unexpected<Error>(record.error());
  }
  Claim claim;
  claim.version = (*row)->version;
  claim.record = std::move(*record);
  return claim;
}

Result<std::optional<ClaimRecord>> AtMostOnce::Find(Task& task, const std::string& service,
                                                    const std::string& key, TimePoint deadline) {
  const auto found = this->ReadClaim(task, RowKey(service, key), deadline);
  if (!found) return tl::unexpected<Error>(found.error());
  if (found->version == 0) return std::optional<ClaimRecord>();
  return std::optional<ClaimRecord>(found->record);
}

}  // namespace anvilcroft
