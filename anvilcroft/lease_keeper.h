#ifndef ANVILCROFT_LEASE_KEEPER_H_
#define ANVILCROFT_LEASE_KEEPER_H_

// Maintains one lease in the metadata store: watches its row, acquires the lease when it is free
// and renews it while this instance holds it.
//
//   LeaseKeeper keeper(runtime, store, settings, rank, on_change);
//   keeper.SetPeerQuery([&](Task& task, int64_t term) {
//     return peers.FindLaterRecord(task, term);
//   });
//   keeper.Start();

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "anvilcroft/metadata_store.h"
#include "anvilcroft/owner_handover.h"
#include "anvilcroft/owner_lease.h"

namespace anvilcroft {

struct LeaseSettings {
  std::string key;   // of the lease's row
  std::string self;  // id of this instance
  // How long after its last renewal a holder may send orders to engines.
  Duration lease_duration = seconds(3);
  // Time between renewals. Several fit into `takeover_after`.
  Duration renewal_interval = milliseconds(300);
  // Time without a renewal after which another instance acquires the lease.
  Duration takeover_after = milliseconds(1300);
  // Time between reads of the row, by the instances that are first in the order of takeover and by
  // the others.
  Duration watch_interval = milliseconds(250);
  Duration standby_watch_interval = milliseconds(2500);
  // Whether the others read the row at all.
  bool standby_watch = true;
};

class LeaseKeeper {
 public:
  // The holder stops using the lease this long before it expires, to allow for differences in clock
  // rate and for the time between a validity check and the call that it permits.
  static constexpr Duration kSafetyMargin = milliseconds(500);

  static constexpr Duration kUnfitOfferInterval = milliseconds(600);

  // Asks other instances for a lease record with a later term than `term`.
  using PeerQuery = std::function<std::optional<OwnerRecord>(Task&, int64_t term)>;

  // Offers the lease of `record` to other instances.
  using Offer = std::function<HandoverAnswer(Task&, const OwnerRecord& record)>;
  // Whether the process of the instance `holder` has ended, for certain.
  using EndedQuery = std::function<bool(Task&, const std::string& holder)>;

  // `rank` returns the number of instances that precede this one in the order of takeover.
  // `on_change` is called when this instance acquires, loses or releases the lease, or renews it
  // after it expired.
  LeaseKeeper(Runtime& runtime, MetadataStore& store, LeaseSettings settings,
              std::function<int()> rank, std::function<void()> on_change);

  // Sets the query that a holder makes when it has not renewed the lease for `takeover_after`. By
  // default no peer is asked. Call before Start.
  void SetPeerQuery(PeerQuery query) { this->query_peers = std::move(query); }

  // Sets the offer that a holder makes when a renewal fails. It does not use the lease until
  // another instance has declined or a renewal succeeds. By default no offer is made. Call before
  // Start.
  void SetOffer(Offer value) { this->offer = std::move(value); }

  // Sets whether this instance is unfit to hold the lease at present. An unfit holder offers the
  // lease every kUnfitOfferInterval until another instance has accepted it, and does not accept
  // offers. By default it is always fit. Call before Start.
  void SetUnfit(std::function<bool()> value) { this->unfit = std::move(value); }

  // Sets the query by which the instances that may acquire the lease find out that its holder has
  // ended; then they do not wait for `takeover_after`. Call before Start.
  void SetEndedQuery(EndedQuery query) { this->has_ended = std::move(query); }

  // Sets a condition for each acquisition of the lease and, with `for_renewals`, for each renewal.
  // A holder whose condition changes acquires its lease anew, so that its fencing token is higher
  // than any that was given out under the former condition. While only the condition fails, the
  // lease is not extended, and it is not taken for lost. By default there is none. Call before
  // Start.
  using Guard = std::function<std::optional<RowBatch::Condition>()>;
  void SetGuard(Guard value, bool for_renewals) {
    this->guard = std::move(value);
    this->guard_renewals = for_renewals;
  }

  // Sets whether the lease is in use. One that is not is neither read nor acquired, and its holder
  // releases it. By default it is always in use. Call before Start.
  void SetInUse(std::function<bool()> value) { this->in_use = std::move(value); }

  void Start();

  // Acquires the lease of `offered`, which its holder offers, if the store still names this holder
  // in the same term.
  HandoverAnswer Accept(Task& task, const OwnerRecord& offered);

  // Releases the lease, so that another instance need not wait until it expires. Retries until the
  // row is written, another holder is found or `deadline` has passed. The lease is not acquired
  // again.
  void Release(Task& task, TimePoint deadline);

  const HeldLease& Held() const { return this->held; }
  // The holder in the record that was last read or written; empty if there is none.
  const std::string& Holder() const { return this->view.record.holder; }
  // The record that was last read or written.
  const OwnerRecord& LastRecord() const { return this->view.record; }
  // Version of the row that was last read or written.
  int64_t RowVersion() const { return this->view.version; }
  // The row in the metadata store that holds the lease.
  RowId Row() const { return {"lease", "", this->settings.key}; }

 private:
  void Run(Task& task);
  void ReadRow(Task& task, Duration timeout);
  // Writes the row on the condition that its version is the one last observed, and that `guarded`,
  // if there is one, holds as well.
  Result<CommitResult> Write(Task& task, const OwnerRecord& record, TimePoint deadline,
                             const std::optional<RowBatch::Condition>& guarded = std::nullopt);
  // `settle_time`: time after which no order of the former holder is on its way any more, if it is
  // known to send no further ones.
  HandoverAnswer Acquire(Task& task, std::optional<Duration> settle_time);
  void Renew(Task& task);
  // Acquires the lease that this instance holds anew after a change of the guard.
  void Reacquire(Task& task);
  // Observes the row that made the condition of a write fail. Returns whether this instance still
  // holds the lease; otherwise marks it as lost.
  bool KeepAfterConflict(const CommitResult& failed);
  // Releases a lease that is not in use; it may be acquired again later.
  void GiveUp(Task& task);
  void HandleFailedRenewal(Task& task);
  // Offers the lease to other instances. Returns whether one has it.
  bool OfferLease(Task& task);
  void MarkLost(const char* reason);

  Runtime& runtime;
  MetadataStore& store;
  LeaseSettings settings;
  std::function<int()> rank;
  std::function<void()> on_change;
  PeerQuery query_peers = [](Task&, int64_t) { return std::nullopt; };
  Offer offer = [](Task&, const OwnerRecord&) { return HandoverAnswer::kDeclined; };
  EndedQuery has_ended = [](Task&, const std::string&) { return false; };
  std::function<bool()> unfit = [] { return false; };
  Guard guard = [] { return std::nullopt; };
  bool guard_renewals = false;
  int64_t unanswered_term = 0;  // of the last acquisition of the own lease without an answer
  std::optional<RowBatch::Condition> held_guard;  // under which the held lease was acquired
  std::function<bool()> in_use = [] { return true; };
  LeaseView view;
  HeldLease held;
  TimePoint offered_at;  // when this instance last offered the lease because it was unfit
  bool expired = false;  // the held lease has expired, and no other holder is known yet
  bool released = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LEASE_KEEPER_H_
