#include "anvilcroft/engine_owner.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/conditional_update.h"
#include "anvilcroft/hash.h"
#include "anvilcroft/log.h"
#include "anvilcroft/row_key.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "orders";
constexpr char kTable[] = "owners";
constexpr Duration kAcquireTimeout = seconds(5);

}  // namespace

EngineOwner::EngineOwner(Runtime& runtime, ClusterView view, StoreAccess store,
                         std::function<std::vector<Target>()> targets,
                         std::function<void(const std::string&)> acquired)
    : runtime(runtime),
      view(std::move(view)),
      store(std::move(store)),
      targets(std::move(targets)),
      acquired(std::move(acquired)) {}

void EngineOwner::Start() {
  this->runtime.Spawn([this](Task& task) {
    const std::shared_ptr<Event> event = this->update_event;  // outlives the waits of this task
    while (true) {
      this->update_due = false;
      this->Update();
      const TimePoint next = SteadyNow() + kUpdateInterval;
      while (!this->update_due && event->WaitUntil(task, next)) {
      }
    }
  });
}

void EngineOwner::CheckNow() {
  this->update_due = true;
  this->update_event->NotifyAll();
}

std::optional<EngineOwner::OwnedEngine> EngineOwner::Find(const std::string& target_id) const {
  const auto found = this->owned.find(target_id);
  if (found == this->owned.end()) return std::nullopt;
  return found->second;
}

void EngineOwner::OnTokenRefused(const std::string& target_id, RowVersion token, TimePoint now) {
  const auto found = this->owned.find(target_id);
  if (found == this->owned.end() || found->second.token != token) return;
  LogWarning(kPart, "engine refused an old fencing token; acquiring a new one after a delay",
             {{"target", target_id}, {"token", std::to_string(token)}});
  this->owned.erase(found);
  this->not_before[target_id] = now + kReacquireDelay;
}

void EngineOwner::Update() {
  const TimePoint now = SteadyNow();
  const std::vector<OwnedEngine>& assigned = this->AssignedEngines();
  std::set<std::string> ids;
  for (const OwnedEngine& item : assigned) ids.insert(item.target.Id());
  for (auto at = this->owned.begin(); at != this->owned.end();) {
    at = ids.count(at->first) == 0 ? this->owned.erase(at) : std::next(at);
  }
  for (auto at = this->not_before.begin(); at != this->not_before.end();) {
    at = at->second <= now ? this->not_before.erase(at) : std::next(at);
  }
  for (const OwnedEngine& item : assigned) {
    const std::string& id = item.target.Id();
    const auto found = this->owned.find(id);
    if (found != this->owned.end()) {
      const RowVersion token = found->second.token;
      found->second = item;
      found->second.token = token;
    } else if (this->acquiring.count(id) == 0 && this->not_before.count(id) == 0 &&
               this->view.holds_lease(now)) {
      this->StartAcquire(item);
    }
  }
}

const std::vector<EngineOwner::OwnedEngine>& EngineOwner::AssignedEngines() {
  const auto roster = this->view.roster();
  std::vector<Target> listed = this->targets();
  if (roster == this->assigned_roster && listed == this->assigned_targets) return this->assigned;
  this->assigned.clear();
  std::map<std::string, std::vector<std::pair<uint64_t, Target>>> by_service;
  for (const Target& target : listed) {
    if (target.Kind() != TargetKind::kModelEngine) continue;
    if (target.ListState() == Target::Listed::kGone) continue;
    const uint64_t hash = StableHash(target.Id());
    by_service[target.Service()].emplace_back(hash, target);
  }
  for (auto& [service, engines] : by_service) {
    std::sort(engines.begin(), engines.end());
    for (std::size_t rank = 0; rank < engines.size(); ++rank) {
      const Member* owner = roster->OwnerOf(engines[rank].second.Id());
      if (owner == nullptr || owner->Id() != this->view.self) continue;
      this->assigned.push_back(OwnedEngine{engines[rank].second, 0, rank, engines.size()});
    }
  }
  this->assigned_roster = roster;
  this->assigned_targets = std::move(listed);
  return this->assigned;
}

void EngineOwner::StartAcquire(OwnedEngine assigned) {
  this->acquiring.insert(assigned.target.Id());
  this->runtime.Spawn([this, assigned = std::move(assigned)](Task& task) mutable {
    const std::string id = assigned.target.Id();
    const auto token = this->AcquireToken(task, id);
    this->acquiring.erase(id);
    if (!token) {
      LogWarning(kPart,
                 "cannot acquire the fencing token of an engine; trying again at the next update",
                 {{"target", id}, {"error", token.error().message}});
      return;
    }
    if (!this->StillAssigned(id)) return;
    assigned.token = *token;
    this->owned[id] = std::move(assigned);
    this->acquired(id);
  });
}

bool EngineOwner::StillAssigned(const std::string& target_id) const {
  const auto roster = this->view.roster();
  const Member* owner = roster->OwnerOf(target_id);
  return owner != nullptr && owner->Id() == this->view.self;
}

Result<RowVersion> EngineOwner::AcquireToken(Task& task, const std::string& target_id) {
  using Plan = UpdatePlan<RowVersion>;
  const TimePoint deadline = SteadyNow() + kAcquireTimeout;
  const std::string key = RowKey({target_id});
  return ApplyUpdate<RowVersion>(
      task, this->store.commit_small, deadline, [&](Task& task) -> Result<Plan> {
        const auto row = this->store.read(task, kTable, key, deadline);
        if (!row) return tl::unexpected<Error>(row.error());
        const nlohmann::json value = {{"instance", this->view.self}, {"epoch", this->view.epoch()}};
        if (*row && (*row)->value == value) return Plan::Settled((*row)->version);
        if (!this->view.holds_lease(SteadyNow())) {
          return Fail(ErrorCode::kNoLease, "the instance holds no valid lease");
        }
        if (!this->StillAssigned(target_id)) {
          return Fail(ErrorCode::kConflict, "another member owns the target");
        }
        return Plan::Write(Transaction::Builder()
                               .CheckVersion(kTable, key, *row ? (*row)->version : 0)
                               .Put(kTable, key, value)
                               .Build(),
                           [](RowVersion version) { return version; });
      });
}

}  // namespace anvilcroft
