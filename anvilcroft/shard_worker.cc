#include "anvilcroft/shard_worker.h"

#include <algorithm>
#include <random>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "shards";
constexpr Duration kScanTimeout = seconds(5);

}  // namespace

ShardWorker::ShardWorker(GroupRunner::Context& context, ClusterView view)
    : context(context), view(std::move(view)) {}

void ShardWorker::Start() {
  this->context.runtime.Spawn([this](Task& task) {
    const std::shared_ptr<Event> event = this->wake_event;  // outlives the waits of this task
    TimePoint next_scan = SteadyNow();
    while (!this->stopped) {
      this->wake_requested = false;
      if (this->all_shards_due || SteadyNow() >= next_scan) {
        this->all_shards_due = false;
        for (int shard = 0; shard < GroupId::kShards; ++shard) this->due_shards.insert(shard);
        // Jitter of 20% spreads the scans of many instances.
        const double factor =
            std::uniform_real_distribution<double>(0.8, 1.2)(this->context.random);
        next_scan =
            SteadyNow() + std::chrono::duration_cast<Duration>(Duration(kScanInterval) * factor);
      }
      this->ScanDue(task);
      this->StartPending();
      const TimePoint until =
          this->due_shards.empty() ? next_scan : std::min(next_scan, SteadyNow() + kScanRetry);
      while (!this->wake_requested && event->WaitUntil(task, until)) {
      }
    }
  });
}

void ShardWorker::Notify(int shard) {
  if (shard < 0 || shard >= GroupId::kShards) return;
  this->due_shards.insert(shard);
  this->wake_requested = true;
  this->wake_event->NotifyAll();
}

void ShardWorker::OnRosterChange() {
  this->all_shards_due = true;
  this->wake_requested = true;
  this->wake_event->NotifyAll();
  for (const auto& [id, runner] : this->running) runner->RecheckMayStart();
}

void ShardWorker::Stop() {
  this->stopped = true;
  this->pending.clear();
  this->wake_requested = true;
  this->wake_event->NotifyAll();
  for (const auto& [id, runner] : this->running) runner->RecheckMayStart();
}

int64_t ShardWorker::RunningSamples() const {
  int64_t samples = 0;
  for (const auto& [id, runner] : this->running) {
    samples += runner->RunningSamples() > 0 ? runner->RunningSamples() : kAssumedSamples;
  }
  return samples;
}

bool ShardWorker::Owns(int shard) {
  const auto roster = this->view.roster();
  if (roster != this->owned_roster) {
    this->owned_shards.clear();
    for (int i = 0; i < GroupId::kShards; ++i) {
      const Member* owner = roster->OwnerOf(GroupId::ShardItem(i));
      if (owner != nullptr && owner->Id() == this->view.self) this->owned_shards.insert(i);
    }
    this->owned_roster = roster;
  }
  return this->owned_shards.count(shard) != 0;
}

void ShardWorker::ScanDue(Task& task) {
  std::set<int> shards;
  shards.swap(this->due_shards);
  for (const int shard : shards) {
    if (this->stopped) return;
    if (this->Owns(shard) && !this->Scan(task, shard)) this->due_shards.insert(shard);
  }
}

bool ShardWorker::Scan(Task& task, int shard) {
  auto markers = this->context.store.ScanShard(task, shard, SteadyNow() + kScanTimeout);
  if (!markers) {
    LogWarning(kPart, "cannot scan a shard; retrying",
               {{"shard", std::to_string(shard)}, {"error", markers.error().message}});
    return false;
  }
  for (SampleStore::Marker& marker : *markers) {
    if (this->running.count(marker.id) == 0) this->pending[marker.id] = std::move(marker);
  }
  return true;
}

void ShardWorker::StartPending() {
  if (this->stopped) return;
  for (auto at = this->pending.begin(); at != this->pending.end();) {
    at = this->Owns(at->first.Shard()) ? std::next(at) : this->pending.erase(at);
  }
  std::map<std::string, int64_t> groups_by_trainer;
  for (const auto& [id, runner] : this->running) ++groups_by_trainer[id.trainer];
  int64_t samples = this->RunningSamples();
  while (!this->pending.empty() && samples < kMaxRunningSamples) {
    // The trainer with the fewest groups running on this instance is next, so that no trainer waits
    // for a whole step of another. Within a trainer, the keys are in the order of steps.
    const auto next = std::min_element(
        this->pending.begin(), this->pending.end(), [&](const auto& a, const auto& b) {
          return groups_by_trainer[a.first.trainer] < groups_by_trainer[b.first.trainer];
        });
    const SampleStore::Marker marker = std::move(next->second);
    this->pending.erase(next);
    ++groups_by_trainer[marker.id.trainer];
    // The number of samples is unknown until the group's row is read.
    samples += kAssumedSamples;
    this->StartGroup(marker);
  }
}

void ShardWorker::StartGroup(const SampleStore::Marker& marker) {
  const int shard = marker.id.Shard();
  const auto runner = std::make_shared<GroupRunner>(
      this->context, marker, [this, shard] { return !this->stopped && this->Owns(shard); });
  this->running.emplace(marker.id, runner);
  this->context.runtime.Spawn([this, runner, id = marker.id, shard](Task& task) {
    const bool finished = runner->Run(task);
    this->running.erase(id);
    if (!finished) this->due_shards.insert(shard);
    this->wake_requested = true;
    this->wake_event->NotifyAll();
  });
}

}  // namespace anvilcroft
