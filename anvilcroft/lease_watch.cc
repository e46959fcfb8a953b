#include "anvilcroft/lease_watch.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "members";
constexpr std::size_t kWatchersPerMember = 2;

}  // namespace

std::set<std::string> WatchedBy(const Roster& roster, const std::string& self) {
  std::set<std::string> watched;
  for (const Member& member : roster.Members()) {
    if (member.Id() == self) continue;
    // `self` watches `member` if fewer than kWatchersPerMember others have a higher rendezvous
    // weight for its id.
    const uint64_t own = RendezvousWeight(self, member.Id());
    const auto before =
        std::count_if(roster.Members().begin(), roster.Members().end(), [&](const Member& other) {
          return other.Id() != member.Id() && other.Id() != self &&
                 RendezvousWeight(other.Id(), member.Id()) > own;
        });
    if (static_cast<std::size_t>(before) < kWatchersPerMember) watched.insert(member.Id());
  }
  return watched;
}

LeaseWatch::LeaseWatch(Runtime& runtime, TableClient& table, RosterTable& rosters,
                       Settings settings, uint64_t seed, Hooks hooks)
    : runtime(runtime),
      table(table),
      rosters(rosters),
      settings(std::move(settings)),
      random(seed),
      hooks(std::move(hooks)),
      observer(this->settings.LeaseDuration()) {}

void LeaseWatch::Start() {
  this->runtime.Spawn([this](Task& task) { this->Run(task); });
}

void LeaseWatch::Halt() {
  this->halted = true;
  this->halt_event->NotifyAll();
}

void LeaseWatch::Run(Task& task) {
  const std::shared_ptr<Event> event = this->halt_event;  // outlives the waits of this task
  while (!this->halted) {
    const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(this->random);
    const TimePoint next = SteadyNow() + std::chrono::duration_cast<Duration>(
                                             this->settings.LeaseRenewal() / 2 * jitter);
    while (!this->halted && event->WaitUntil(task, next)) {
    }
    if (this->halted) return;
    const std::shared_ptr<const Roster> roster = this->hooks.roster();
    const auto watched = this->ChooseWatched(*roster, SteadyNow());
    this->observer.RetainOnly(watched);
    for (const std::string& id : watched) {
      if (!this->halted) this->CheckLease(task, id);
    }
  }
}

std::set<std::string> LeaseWatch::ChooseWatched(const Roster& roster, TimePoint now) {
  const std::string& self = this->settings.InstanceId();
  auto watched = WatchedBy(roster, self);
  if (now >= this->repick_at && !roster.Members().empty()) {
    const std::size_t index =
        std::uniform_int_distribution<std::size_t>(0, roster.Members().size() - 1)(this->random);
    this->random_pick = roster.Members()[index].Id();
    this->repick_at = now + 2 * this->settings.LeaseDuration();
  }
  if (this->random_pick != self && roster.Find(this->random_pick) != nullptr) {
    watched.insert(this->random_pick);
  }
  return watched;
}

void LeaseWatch::CheckLease(Task& task, const std::string& id) {
  const auto row =
      this->table.Read(task, kLeaseTable, id, SteadyNow() + TableClient::kAttemptTimeout);
  if (!row) return;
  const TimePoint now = SteadyNow();
  this->observer.RecordRead(now);
  this->observer.Observe(id, *row ? (*row)->version : 0, now);
  const auto expired_version = this->observer.ExpiredVersion(id, now);
  if (!expired_version || !this->hooks.active(now)) return;
  const std::shared_ptr<const Roster> roster = this->hooks.roster();
  if (const Member* member = roster->Find(id)) this->RemoveMember(task, *member, *expired_version);
}

void LeaseWatch::RemoveMember(Task& task, const Member& member, RowVersion lease_version) {
  const auto without = [&](std::vector<Member> members) -> std::optional<std::vector<Member>> {
    const auto rest = std::remove_if(members.begin(), members.end(), [&](const Member& other) {
      return other.Id() == member.Id() && other.Epoch() == member.Epoch();
    });
    if (rest == members.end()) return std::nullopt;
    members.erase(rest, members.end());
    return members;
  };
  const auto lease = Transaction::Builder()
                         .CheckVersion(kLeaseTable, member.Id(), lease_version)
                         .Delete(kLeaseTable, member.Id())
                         .Build();
  const auto removed =
      this->rosters.UpdateZone(task, member.Zone(), without, lease, SteadyNow() + seconds(5));
  if (!removed) {
    if (removed.error().code != ErrorCode::kConflict) {
      this->observer.RecordWriteFailure(SteadyNow());
    }
    return;
  }
  if (!*removed) return;
  LogWarning(kPart, "removed a member from the roster because its lease expired",
             {{"instance", member.Id()}});
  this->hooks.removed();
}

}  // namespace anvilcroft
