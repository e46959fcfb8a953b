#ifndef ANVILCROFT_LEASE_KEEPER_H_
#define ANVILCROFT_LEASE_KEEPER_H_

// Keeps one lease in the metadata store: watches its row, takes it when it is free and renews it
// while this instance holds it.
//
//   LeaseKeeper keeper(runtime, store, settings, rank, on_change);
//   keeper.AskPeersWith([&](Task& task, int64_t term) { return peers.LaterThan(task, term); });
//   keeper.Start();

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "anvilcroft/metadata_store.h"
#include "anvilcroft/owner_lease.h"

namespace anvilcroft {

struct LeaseSettings {
  std::string key;   // of the row
  std::string self;  // this instance
  // How long a holder may give orders after its last renewal.
  Duration lease = seconds(3);
  // Renewals follow each other this fast: several fit into the takeover time.
  Duration renew_every = milliseconds(300);
  // Silence after which another instance takes the row.
  Duration takeover_after = milliseconds(1300);
  // Time between reads of the row by an instance that is next in line, and by the others.
  Duration watch_every = milliseconds(250);
  Duration idle_watch_every = milliseconds(2500);
};

class LeaseKeeper {
 public:
  // Part of the lease that the holder does not use, for the difference of clock rates and the time
  // between a check and the call that it allows.
  static constexpr Duration kSafetyMargin = milliseconds(500);

  // Asks other instances for a record of a later term than `term`.
  using AskPeers = std::function<std::optional<OwnerRecord>(Task&, int64_t term)>;

  // `rank` tells how many instances are to take the lease before this one; 0: the first.
  LeaseKeeper(Runtime& runtime, MetadataStore& store, LeaseSettings settings,
              std::function<int()> rank, std::function<void()> on_change);

  // Used by a holder that has not reached the store for the takeover time. Default: nobody is
  // asked. Call before Start.
  void AskPeersWith(AskPeers value) { this->ask_peers = std::move(value); }

  void Start();

  // Gives the lease up, so that another instance need not wait for its end. Waits for the store.
  void Release(Task& task, TimePoint deadline);

  const HeldLease& Held() const { return this->held; }
  // The holder that was last read; empty if unknown.
  const std::string& Holder() const { return this->view.record.holder; }
  // The record that was last read or written.
  const OwnerRecord& LastRecord() const { return this->view.record; }

 private:
  void Run(Task& task);
  void Watch(Task& task);
  // Writes the row on the condition that it is as last seen.
  Result<CommitResult> Write(Task& task, const OwnerRecord& record, TimePoint deadline);
  void Take(Task& task);
  void Renew(Task& task);
  void HandleUnanswered(Task& task);
  void Drop(const char* reason);
  RowId Row() const { return {"lease", "", this->settings.key}; }

  Runtime& runtime;
  MetadataStore& store;
  LeaseSettings settings;
  std::function<int()> rank;
  std::function<void()> on_change;
  AskPeers ask_peers = [](Task&, int64_t) { return std::nullopt; };
  LeaseView view;
  HeldLease held;
  bool lapsed = false;  // the lease ran out, and nobody has taken it yet
  bool released = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LEASE_KEEPER_H_
