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
// A claim is taken as abandoned if its instance is missing from the roster for this long. A shorter
// absence is not sufficient: a roster that is a few seconds old may lack an instance that has just
// joined.
constexpr Duration kMissingClaimantTimeout = seconds(5);

std::string RowKey(const std::string& service, const std::string& key) {
  return service + "/" + key;
}

tl::unexpected<Error> OutcomeUnknown(const std::string& message) {
  return Fail(ErrorCode::kOutcomeUnknown, message, "Idempotency-Key", Ran::kUnknown);
}

// Whether a new request may claim the key: it has no row, or its claim was released.
bool IsClaimable(RowVersion version, const ClaimRecord& record) {
  return version == 0 || record.state == ClaimRecord::State::kReleased;
}

// The outcome that a row gives to a later request with its key; nullopt while the claim is open.
std::optional<Result<WorkResult>> RecordedOutcome(const ClaimRecord& record) {
  switch (record.state) {
    case ClaimRecord::State::kClaimed:
      return std::nullopt;
    case ClaimRecord::State::kUnknown:
      return Result<WorkResult>(
          OutcomeUnknown("no response was recorded for an earlier request with the key"));
    case ClaimRecord::State::kReleased:
      // The key was released after this request began, so this request must not run.
      return Result<WorkResult>(
          OutcomeUnknown("another request with the key was refused while this one was waiting"));
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
  const auto first = this->ReadInitialClaim(task, row_key, item.request.Deadline());
  if (!first) return tl::unexpected<Error>(first.error());
  if (!IsClaimable(first->version, first->record)) return this->Await(task, item, row_key, *first);

  if (const auto entered = hooks.admit(task); !entered) {
    return tl::unexpected<Error>(
        this->Release(task, row_key, first->version, this->NewRecord(item), entered.error()));
  }
  const auto claim = this->TryClaim(task, item, row_key, first->version);
  if (!claim) return tl::unexpected<Error>(claim.error());
  if (claim->owned) return this->Dispatch(task, item, row_key, *claim, hooks);
  hooks.release_permit();
  return this->Await(task, item, row_key, *claim);
}

Result<WorkResult> AtMostOnce::Refuse(Task& task, const WorkItem& item, const Error& error) {
  const std::string row_key = RowKey(item.request.Service(), item.request.IdempotencyKey());
  const TimePoint deadline = std::min(item.request.Deadline(), SteadyNow() + kRefusalTimeout);
  const auto found = this->ReadClaim(task, row_key, deadline);
  if (!found) return tl::unexpected<Error>(error.WithRan(Ran::kUnknown));
  if (!IsClaimable(found->version, found->record)) {
    const bool same = found->record.fingerprint == item.fingerprint;
    const auto settled = same ? RecordedOutcome(found->record) : std::nullopt;
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

// Replaces the row at version `expected` by a tombstone. Returns `error` with ran = no if the write
// is confirmed. Otherwise retries it in the background and returns `error` with ran = unknown.
Error AtMostOnce::Release(Task& task, const std::string& row_key, RowVersion expected,
                          ClaimRecord record, const Error& error) {
  record.state = ClaimRecord::State::kReleased;
  const TimePoint deadline = SteadyNow() + kRefusalTimeout;
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

// Reads the key's row at the start of a request, retrying until `deadline`. Without the row, it is
// unknown whether an earlier request with the key ran.
Result<AtMostOnce::Claim> AtMostOnce::ReadInitialClaim(Task& task, const std::string& row_key,
                                                       TimePoint deadline) {
  Duration pause = kFirstPause;
  while (true) {
    auto found = this->ReadClaim(task, row_key, deadline);
    if (found) return found;
    if (SteadyNow() + pause >= deadline) {
      return tl::unexpected<Error>(Error{
          ErrorCode::kStoreUnavailable,
          "the table service does not answer; this request did not run, but an earlier one with "
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
  own.owned = true;
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
    // After a lost answer or a conflict, which may be with an earlier attempt of this request, the
    // row shows who holds the claim.
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
    return OutcomeUnknown("the target sent no valid response: " + result.error().message);
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
                                     SteadyNow() + kRecordTimeout);
  if (!recorded) {
    LogWarning(kPart, "cannot record the response of a request; retrying in the background",
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
  TimePoint claimant_last_seen = SteadyNow();
  Duration pause = kFirstPause;
  while (true) {
    if (claim.record.fingerprint != item.fingerprint) {
      return Fail(ErrorCode::kKeyReused, "the key was used for a different request",
                  "Idempotency-Key");
    }
    if (auto outcome = RecordedOutcome(claim.record)) return *outcome;
    const TimePoint now = SteadyNow();
    if (this->view.roster()->Find(claim.record.instance) != nullptr) claimant_last_seen = now;
    if (now - claimant_last_seen >= kMissingClaimantTimeout) {
      // If the claiming instance still records a response, its record replaces this one.
      ClaimRecord record = claim.record;
      record.state = ClaimRecord::State::kUnknown;
      this->settler.Settle({row_key, record.nonce, claim.version, record});
      return OutcomeUnknown("the instance that claimed the key has left the roster");
    }
    if (now + pause >= deadline) {
      return OutcomeUnknown("an earlier request with the key is still in progress");
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
    LogError(kPart, "cannot decode a claim row", {{"key", row_key}, {"part", record.error().part}});
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
