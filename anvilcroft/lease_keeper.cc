#include "anvilcroft/lease_keeper.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "lease";
constexpr Duration kCallTimeout = milliseconds(500);       // a slow store answers within 300 ms
constexpr Duration kOfferReadTimeout = milliseconds(150);  // a slow store is no reason to take over
// Orders of a process that has ended arrive within the latency of the network, those of a holder
// that has offered its lease also within the timeout of an order.
constexpr Duration kEndedSettleTime = milliseconds(300);
constexpr Duration kOfferSettleTime = milliseconds(1000);
constexpr int kCloseWatchers = 3;  // instances that may acquire the lease and read its row often

// The row as returned by a write whose condition failed, if `self` still holds the lease in `term`.
// The condition then failed because an earlier write was applied although its answer was lost.
struct OwnRow {
  OwnerRecord record;
  int64_t version = 0;
};
std::optional<OwnRow> FindOwnRow(const CommitResult& failed, const std::string& self,
                                 int64_t term) {
  if (failed.current.empty()) return std::nullopt;
  const StoredRow& row = failed.current.front();  // the lease's row is the first condition
  const auto record = DecodeOwner(row.value);
  if (!record || record->holder != self || record->term != term) return std::nullopt;
  return OwnRow{*record, row.version};
}

}  // namespace

LeaseKeeper::LeaseKeeper(Runtime& runtime, MetadataStore& store, LeaseSettings settings,
                         std::function<int()> rank, std::function<void()> on_change)
    : runtime(runtime),
      store(store),
      settings(std::move(settings)),
      rank(std::move(rank)),
      on_change(std::move(on_change)) {}

void LeaseKeeper::Start() {
  this->runtime.SpawnService("lease", [this](Task& task) { this->Run(task); });
}

void LeaseKeeper::Run(Task& task) {
  while (!this->released) {
    const TimePoint started = SteadyNow();
    Duration pause = this->settings.renewal_interval;
    if (!this->in_use()) {
      if (this->held.fencing != 0) this->GiveUp(task);
      this->view.read = false;
    } else if (this->held.fencing != 0 && this->guard() != this->held_guard) {
      this->Reacquire(task);
    } else if (this->held.fencing != 0) {
      this->Renew(task);
    } else if (!this->settings.standby_watch && this->rank() >= kCloseWatchers) {
      pause = this->settings.watch_interval;
    } else {
      this->ReadRow(task, kCallTimeout);
      const int preceding = this->rank();
      const bool ended = this->view.read && preceding < kCloseWatchers &&
                         !this->view.record.holder.empty() &&
                         this->view.record.holder != this->settings.self &&
                         this->has_ended(task, this->view.record.holder);
      const Duration takeover =
          ended ? Duration::zero() : this->settings.takeover_after + preceding * milliseconds(150);
      if (this->view.read && !this->released && this->held.fencing == 0 &&
          preceding < kCloseWatchers &&
          MayAcquire(this->view, this->settings.self, BootNow(), takeover)) {
        this->Acquire(task, ended ? std::optional<Duration>(kEndedSettleTime) : std::nullopt);
      }
      if (this->held.fencing == 0) {
        pause = preceding < kCloseWatchers ? this->settings.watch_interval
                                           : this->settings.standby_watch_interval;
      }
    }
    SleepUntil(task, started + pause);
  }
}

void LeaseKeeper::ReadRow(Task& task, Duration timeout) {
  RowRange range;
  range.table = this->Row().table;
  range.from = this->settings.key;
  range.max_rows = 1;
  const auto read = this->store.Read(task, range, SteadyNow() + timeout);
  if (!read) {
    // While reads fail, a holder that does not renew cannot be told from a store that does not
    // answer, so the time without a renewal is counted anew after the next read.
    this->view.read = false;
    return;
  }
  OwnerRecord record;
  int64_t version = 0;
  if (!read->rows.empty() && read->rows.front().id.key == this->settings.key) {
    const auto decoded = DecodeOwner(read->rows.front().value);
    if (decoded) record = *decoded;
    version = read->rows.front().version;
  }
  this->view = ObserveRow(this->view, record, version, BootNow());
}

Result<CommitResult> LeaseKeeper::Write(Task& task, const OwnerRecord& record, TimePoint deadline,
                                        const std::optional<RowBatch::Condition>& guarded) {
  RowBatch::Builder builder;
  builder.Expect(this->Row(), this->view.version).Put(this->Row(), EncodeOwner(record));
  if (guarded) builder.Expect(guarded->first, guarded->second);
  return this->store.Commit(task, builder.Build(), deadline);
}

HandoverAnswer LeaseKeeper::Accept(Task& task, const OwnerRecord& offered) {
  const auto taken_already = [&] {
    return this->held.fencing != 0 && this->view.record.term > offered.term;
  };
  if (taken_already()) return HandoverAnswer::kTaken;
  if (this->released || this->held.fencing != 0 || this->unfit() || !this->in_use()) {
    return HandoverAnswer::kDeclined;
  }
  this->ReadRow(task, kOfferReadTimeout);
  if (taken_already()) return HandoverAnswer::kTaken;
  const OwnerRecord& current = this->view.record;
  if (!this->view.read || this->released || this->held.fencing != 0 ||
      current.holder != offered.holder || current.term != offered.term) {
    return HandoverAnswer::kDeclined;
  }
  return this->Acquire(task, kOfferSettleTime);
}

HandoverAnswer LeaseKeeper::Acquire(Task& task, std::optional<Duration> settle_time) {
  const OwnerRecord former = this->view.record;
  const BootTime former_changed_at = this->view.changed_at;
  OwnerRecord record;
  record.holder = this->settings.self;
  record.term = former.term + 1;
  const auto guarded = this->guard();
  const BootTime sent = BootNow();
  const auto written = this->Write(task, record, SteadyNow() + kCallTimeout, guarded);
  if (!written || !written->committed) {
    this->view.read = false;
    const bool unknown = !written && written.error().ran != Ran::kNo;
    return unknown ? HandoverAnswer::kUnknown : HandoverAnswer::kDeclined;
  }
  this->view = ObserveRow(this->view, record, written->version, BootNow());
  this->held.offered = false;
  this->held_guard = guarded;
  this->held.fencing = written->version;
  this->held.valid_until = sent + this->settings.lease_duration - kSafetyMargin;
  this->held.orders_from = OrdersFrom(former.holder, former_changed_at, this->settings.self, sent,
                                      this->settings.lease_duration, settle_time);
  LogInfo(kPart, "acquired the lease",
          {{"key", this->settings.key},
           {"former", former.holder},
           {"term", std::to_string(record.term)},
           {"fencing", std::to_string(this->held.fencing)}});
  this->on_change();
  return HandoverAnswer::kTaken;
}

void LeaseKeeper::Renew(Task& task) {
  OwnerRecord record = this->view.record;
  ++record.renewals;
  const BootTime sent = BootNow();
  const auto written =
      this->Write(task, record, SteadyNow() + kCallTimeout,
                  this->guard_renewals ? this->held_guard : std::optional<RowBatch::Condition>());
  if (this->released) return;
  if (written && written->committed) {
    this->view = ObserveRow(this->view, record, written->version, BootNow());
    this->held.valid_until = sent + this->settings.lease_duration - kSafetyMargin;
    // The renewal changed the row's version, so a late acquisition after an offer fails.
    if (std::exchange(this->held.offered, false)) this->on_change();
    if (std::exchange(this->expired, false)) {
      LogInfo(kPart, "renewed the lease after it had expired", {{"key", this->settings.key}});
      this->on_change();
    }
    if (this->unfit() && SteadyNow() - this->offered_at >= kUnfitOfferInterval) {
      this->OfferLease(task);
      this->offered_at = SteadyNow();
    }
    return;
  }
  if (written) {
    this->KeepAfterConflict(*written);
    return;
  }
  this->HandleFailedRenewal(task);
}

bool LeaseKeeper::KeepAfterConflict(const CommitResult& failed) {
  auto own = FindOwnRow(failed, this->settings.self, this->view.record.term);
  // Any other later term of this instance is that of another process.
  if (!own && this->unanswered_term == this->view.record.term + 1) {
    own = FindOwnRow(failed, this->settings.self, this->unanswered_term);
  }
  if (!own) {
    this->view.read = false;
    this->MarkLost("another instance holds the lease");
    return false;
  }
  // The same version: only the guard failed, and a late acquisition after an offer is possible.
  if (own->version != this->view.version) this->held.offered = false;
  this->view = ObserveRow(this->view, own->record, own->version, BootNow());
  return true;
}

void LeaseKeeper::Reacquire(Task& task) {
  OwnerRecord record = this->view.record;
  ++record.term;
  record.renewals = 0;
  const auto guarded = this->guard();
  const BootTime sent = BootNow();
  const auto written = this->Write(task, record, SteadyNow() + kCallTimeout, guarded);
  if (this->released) return;
  if (!written) {
    this->unanswered_term = record.term;
    this->HandleFailedRenewal(task);
    return;
  }
  if (!written->committed) {
    this->KeepAfterConflict(*written);
    return;
  }
  this->view = ObserveRow(this->view, record, written->version, BootNow());
  this->held_guard = guarded;
  this->held.fencing = written->version;
  this->held.valid_until = sent + this->settings.lease_duration - kSafetyMargin;
  this->held.offered = false;
  this->expired = false;
  LogInfo(kPart, "acquired the own lease anew",
          {{"key", this->settings.key},
           {"term", std::to_string(record.term)},
           {"fencing", std::to_string(this->held.fencing)}});
  this->on_change();
}

void LeaseKeeper::GiveUp(Task& task) {
  this->MarkLost("it is not in use any more");
  OwnerRecord record = this->view.record;
  record.holder.clear();
  // If this fails, the lease expires.
  this->Write(task, record, SteadyNow() + kCallTimeout);
}

// While calls to the store fail, the lease expires, but its row may still name this instance: after
// an acquisition by another instance, the condition of the next renewal does not hold. The state
// that the lease covers is kept until then, or until another instance reports a later holder.
void LeaseKeeper::HandleFailedRenewal(Task& task) {
  if (!this->held.ValidAt(BootNow()) && !std::exchange(this->expired, true)) {
    LogWarning(kPart, "the lease expired because renewals failed; trying to renew it",
               {{"key", this->settings.key}});
  }
  if (!this->held.offered && this->OfferLease(task)) return;
  if (this->released) return;
  if (BootNow() - this->view.changed_at < this->settings.takeover_after) return;
  const auto later = this->query_peers(task, this->view.record.term);
  if (!later || this->released) return;
  LogInfo(kPart, "another instance reports a later holder of the lease",
          {{"key", this->settings.key},
           {"holder", later->holder},
           {"term", std::to_string(later->term)}});
  this->view.read = false;
  this->MarkLost("another instance holds the lease");
}

bool LeaseKeeper::OfferLease(Task& task) {
  this->held.offered = true;
  const HandoverAnswer answer = this->offer(task, this->view.record);
  if (this->released) return false;
  if (answer == HandoverAnswer::kTaken) {
    this->view.read = false;
    this->MarkLost("another instance has accepted it");
    return true;
  }
  this->held.offered = answer == HandoverAnswer::kUnknown;
  if (!this->held.offered) this->on_change();
  return false;
}

void LeaseKeeper::MarkLost(const char* reason) {
  LogWarning(kPart, "lost the lease",
             {{"key", this->settings.key},
              {"reason", reason},
              {"fencing", std::to_string(this->held.fencing)}});
  this->held = HeldLease();
  this->expired = false;
  this->on_change();
}

void LeaseKeeper::Release(Task& task, TimePoint deadline) {
  this->released = true;
  if (this->held.fencing == 0) return;
  this->held = HeldLease();
  this->on_change();
  OwnerRecord record = this->view.record;
  record.holder.clear();
  // A renewal in progress may change the row's version, which fails the condition of this write.
  while (SteadyNow() < deadline) {
    const auto written = this->Write(task, record, std::min(deadline, SteadyNow() + kCallTimeout));
    if (written && written->committed) break;
    if (written) {
      const auto own = FindOwnRow(*written, this->settings.self, this->view.record.term);
      if (!own) break;
      this->view.version = own->version;
      continue;
    }
    SleepUntil(task, SteadyNow() + milliseconds(50));
  }
  LogInfo(kPart, "released the lease", {{"key", this->settings.key}});
}

}  // namespace anvilcroft
