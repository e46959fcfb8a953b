#include "anvilcroft/membership.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "members";

// Returns `members` without the entries of `id`.
std::vector<Member> Without(std::vector<Member> members, const std::string& id) {
  members.erase(std::remove_if(members.begin(), members.end(),
                               [&](const Member& member) { return member.Id() == id; }),
                members.end());
  return members;
}

Duration LeaseMargin(const Settings& settings) {
  return std::min<Duration>(Membership::kMaxLeaseMargin, settings.LeaseDuration() / 4);
}

}  // namespace

Membership::Membership(Runtime& runtime, TableClient& table, Settings settings, uint64_t seed,
                       Hooks hooks)
    : runtime(runtime),
      table(table),
      settings(std::move(settings)),
      random(seed),
      hooks(std::move(hooks)),
      rosters(table, seed + 1),
      watch(runtime, table, this->rosters, this->settings, seed + 2,
            LeaseWatch::Hooks{[this] { return this->roster; },
                              [this](TimePoint now) { return this->HoldsLease(now); },
                              [this] { this->NotifyRosterWritten(); }}),
      nonce(HexDigest(this->settings.InstanceId() + "/" + std::to_string(seed) + "/" +
                      std::to_string(WallNow()))) {}

void Membership::Start(std::string api_address, std::string peer_address) {
  this->api_address = std::move(api_address);
  this->peer_address = std::move(peer_address);
  this->runtime.Spawn([this](Task& task) { this->JoinAndRenew(task); });
  this->runtime.Spawn([this](Task& task) { this->RefreshRoster(task); });
  this->watch.Start();
}

void Membership::Halt() {
  this->halted = true;
  this->lease_start.reset();
  this->watch.Halt();
  this->renew_event->NotifyAll();
  this->roster_event->NotifyAll();
}

Duration Membership::LeaseRemaining(TimePoint now) const {
  if (!this->lease_start) return Duration::zero();
  return *this->lease_start + this->settings.LeaseDuration() - LeaseMargin(this->settings) - now;
}

void Membership::OnHeadRead(const Head& head, TimePoint now) {
  this->watch.Observer().RecordRead(now);
  if (head.roster_version <= this->wanted_version) return;
  this->wanted_version = head.roster_version;
  this->wanted_zone = head.roster_zone;
  this->roster_event->NotifyAll();
}

void Membership::NotifyRosterWritten() { this->hooks.on_roster_written(); }

void Membership::RefreshRoster(Task& task) {
  const std::shared_ptr<Event> event = this->roster_event;  // outlives the waits of this task
  while (!this->halted) {
    if (this->roster->Version() >= this->wanted_version) {
      event->Wait(task);
      continue;
    }
    // The rows are read after the head row, so they are at least as new as its roster version.
    const uint64_t version = this->wanted_version;
    auto members = this->ReadRoster(task, version, this->wanted_zone);
    if (this->halted) return;
    if (!members) {
      LogWarning(kPart, "cannot read the roster; retrying in 500 ms",
                 {{"error", members.error().message}});
      SleepUntil(task, SteadyNow() + milliseconds(500));
      continue;
    }
    this->roster = std::make_shared<const Roster>(version, std::move(*members));
    const Member* own = this->roster->Find(this->settings.InstanceId());
    if (this->epoch != 0 && (own == nullptr || own->Epoch() != this->epoch)) {
      this->renew_now = true;
      this->renew_event->NotifyAll();
    }
    this->hooks.on_roster();
  }
}

// Reads only the row of `zone` if it is the only change since the current roster. With 380 members
// the whole roster is 80 KB, and it changes several hundred times a day.
Result<std::vector<Member>> Membership::ReadRoster(Task& task, uint64_t version,
                                                   const std::string& zone) {
  const TimePoint deadline = SteadyNow() + TableClient::kAttemptTimeout;
  const std::shared_ptr<const Roster> known = this->roster;
  if (zone.empty() || known->Version() == 0 || known->Version() + 1 != version) {
    return this->rosters.ReadAll(task, deadline);
  }
  auto members = this->rosters.ReadZone(task, zone, deadline);
  if (!members) return members;
  std::copy_if(known->Members().begin(), known->Members().end(), std::back_inserter(*members),
               [&](const Member& member) { return member.Zone() != zone; });
  return members;
}

void Membership::Pause(Task& task, Duration shortest, Duration longest) {
  const std::shared_ptr<Event> event = this->renew_event;  // outlives the waits of this task
  const Duration pause = std::uniform_int_distribution<Duration::rep>(
                             shortest.count(), longest.count())(this->random) *
                         Duration(1);
  const TimePoint until = SteadyNow() + pause;
  while (!this->halted && !this->renew_now && event->WaitUntil(task, until)) {
  }
}

void Membership::JoinAndRenew(Task& task) {
  const Duration period = this->settings.LeaseRenewal();
  const Duration spread = std::min<Duration>(kRetrySpread, period);
  while (!this->halted) {
    if (this->epoch == 0) {
      if (this->leaving) return;
      if (!this->Join(task)) {
        this->Pause(task, milliseconds(10), spread);
        continue;
      }
    }
    // If the answers to a join were lost for a long time, the lease may already have expired; then
    // it is renewed without a wait.
    if (this->HoldsLease(SteadyNow())) this->Pause(task, period * 4 / 5, period * 6 / 5);
    Renewal outcome = Renewal::kRetryNow;
    while (!this->halted && outcome != Renewal::kDone && this->epoch != 0) {
      this->renew_now = false;
      outcome = this->Renew(task);
      if (outcome == Renewal::kRemoved) {
        LogWarning(kPart, "the lease row of this instance was removed; joining again");
        this->epoch = 0;
        this->lease_start.reset();
        this->unresolved_since.reset();
        this->hooks.on_removed();
      } else if (outcome == Renewal::kReplaced) {
        LogError(kPart, "another process has joined with this instance id; stopping");
        this->lease_start.reset();
        this->epoch = 0;
        this->Halt();
        this->hooks.on_replaced();
      } else if (outcome == Renewal::kRetryLater) {
        this->watch.Observer().RecordWriteFailure(SteadyNow());
        this->Pause(task, milliseconds(10), spread);
      }
    }
  }
}

bool Membership::Join(Task& task) {
  const TimePoint sent_at = SteadyNow();
  this->renew_now = false;
  while (!this->halted && SteadyNow() < sent_at + kRetrySpread) {
    const auto joined = this->JoinAttempt(task, sent_at);
    if (this->halted) return false;
    if (!joined) {
      LogWarning(kPart, "cannot join the cluster; retrying", {{"error", joined.error().message}});
      return false;
    }
    if (!*joined) continue;
    LogInfo(kPart, "joined", {{"epoch", std::to_string(this->epoch)}});
    this->hooks.on_joined();
    this->NotifyRosterWritten();
    return true;
  }
  return false;
}

// Returns true if this instance is a member now, and false if its lease row changed during the
// attempt.
Result<bool> Membership::JoinAttempt(Task& task, TimePoint sent_at) {
  const std::string& id = this->settings.InstanceId();
  const TimePoint deadline = sent_at + kRetrySpread;
  const auto lease = this->table.Read(task, kLeaseTable, id, deadline);
  if (!lease) return tl::unexpected<Error>(lease.error());
  if (*lease && this->OwnsLease(**lease)) {
    // An earlier attempt of this process was applied although its answer was lost. lease_start
    // stays unset because the time of that attempt is unknown, so the caller renews the lease at
    // once.
    this->AdoptLease(**lease);
    return true;
  }
  const Member self = Member::Builder()
                          .SetId(id)
                          .SetZone(this->settings.Zone())
                          .SetRegion(this->settings.Region())
                          .SetApiAddress(this->api_address)
                          .SetPeerAddress(this->peer_address)
                          .Build();
  const auto with_self = [&](std::vector<Member> members) {
    auto next = Without(std::move(members), id);
    next.push_back(self);
    return std::optional<std::vector<Member>>(std::move(next));
  };
  const auto own_lease =
      Transaction::Builder()
          .CheckVersion(kLeaseTable, id, *lease ? (*lease)->version : 0)
          .Put(kLeaseTable, id, {{"epoch", 0}, {"renewed_ms", WallNow()}, {"nonce", this->nonce}})
          .Build();
  const auto changed =
      this->rosters.UpdateZone(task, this->settings.Zone(), with_self, own_lease, deadline);
  if (!changed && changed.error().code != ErrorCode::kConflict) {
    return tl::unexpected<Error>(changed.error());
  }
  // Reads the row back: its version is the epoch, and after a conflict it shows whether an attempt
  // whose answer was lost was applied.
  const auto written = this->table.Read(task, kLeaseTable, id, deadline);
  if (!written) return tl::unexpected<Error>(written.error());
  if (!*written || !this->OwnsLease(**written)) return false;
  this->AdoptLease(**written);
  this->lease_start = sent_at;
  return true;
}

bool Membership::OwnsLease(const Row& lease) const {
  return JsonFields(lease.value, "lease").StringOr("nonce", "") == this->nonce;
}

void Membership::AdoptLease(const Row& lease) {
  const auto recorded =
      static_cast<RowVersion>(JsonFields(lease.value, "lease").IntegerOr("epoch", 0, 0, INT64_MAX));
  this->epoch = recorded == 0 ? lease.version : recorded;
  this->lease_version = lease.version;
}

Membership::Renewal Membership::Renew(Task& task) {
  const std::string& id = this->settings.InstanceId();
  const TimePoint sent_at = SteadyNow();
  const auto renewal =
      Transaction::Builder()
          .CheckVersion(kLeaseTable, id, this->lease_version)
          .Put(kLeaseTable, id,
               {{"epoch", this->epoch}, {"renewed_ms", WallNow()}, {"nonce", this->nonce}})
          .Build();
  const auto renewed = this->table.Commit(task, renewal, sent_at + TableClient::kAttemptTimeout);
  if (this->halted) return Renewal::kDone;
  if (renewed) {
    this->lease_version = *renewed;
    this->lease_start = sent_at;
    this->unresolved_since.reset();
    return Renewal::kDone;
  }
  const bool conflict = renewed.error().code == ErrorCode::kConflict;
  if (!conflict && renewed.error().ran != Ran::kUnknown) return Renewal::kRetryLater;
  if (!conflict && !this->unresolved_since) this->unresolved_since = sent_at;
  return this->ResolveRenewal(task);
}

Membership::Renewal Membership::ResolveRenewal(Task& task) {
  const auto lease = this->table.Read(task, kLeaseTable, this->settings.InstanceId(),
                                      SteadyNow() + TableClient::kAttemptTimeout);
  if (this->halted) return Renewal::kDone;
  if (!lease) return Renewal::kRetryLater;
  if (!*lease) return Renewal::kRemoved;
  if (!this->OwnsLease(**lease)) return Renewal::kReplaced;
  if ((*lease)->version == this->lease_version) return Renewal::kRetryLater;
  // One of the renewals sent since unresolved_since was applied although its answer was lost. Which
  // one is unknown, so the lease counts from the earliest.
  this->lease_version = (*lease)->version;
  if (!this->unresolved_since) return Renewal::kRetryNow;
  this->lease_start = this->unresolved_since;
  this->unresolved_since.reset();
  return Renewal::kDone;
}

Result<void> Membership::MarkLeaving(Task& task, TimePoint deadline) {
  this->leaving = true;
  if (this->epoch == 0) return {};
  const auto edit = [&](std::vector<Member> members) -> std::optional<std::vector<Member>> {
    for (Member& member : members) {
      if (member.Id() != this->settings.InstanceId() || member.Epoch() != this->epoch) continue;
      if (!member.Serving()) return std::nullopt;
      member = Member::Builder(member).SetState(Member::State::kLeaving).Build();
      return members;
    }
    return std::nullopt;
  };
  const auto changed =
      this->rosters.UpdateZone(task, this->settings.Zone(), edit, Transaction(), deadline);
  if (!changed) return tl::unexpected<Error>(changed.error());
  this->NotifyRosterWritten();
  return {};
}

Result<void> Membership::Leave(Task& task, TimePoint deadline) {
  this->leaving = true;
  const RowVersion own_epoch = std::exchange(this->epoch, 0);
  this->Halt();
  if (own_epoch == 0) return {};
  const std::string& id = this->settings.InstanceId();
  const auto edit = [&](std::vector<Member> members) -> std::optional<std::vector<Member>> {
    const auto own = std::find_if(members.begin(), members.end(), [&](const Member& member) {
      return member.Id() == id && member.Epoch() == own_epoch;
    });
    if (own == members.end()) return std::nullopt;
    members.erase(own);
    return members;
  };
  // If the roster has an entry with this epoch, the lease row belongs to this process too: both are
  // written and removed in one transaction that checks the version of the roster row.
  const auto lease = Transaction::Builder().Delete(kLeaseTable, id).Build();
  const auto changed = this->rosters.UpdateZone(task, this->settings.Zone(), edit, lease, deadline);
  if (!changed) return tl::unexpected<Error>(changed.error());
  this->NotifyRosterWritten();
  return {};
}

}  // namespace anvilcroft
