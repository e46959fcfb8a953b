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
    const std::shared_ptr<Event> event = this->wake;  // outlives the waits of this task
    TimePoint next_scan = SteadyNow();
    while (!this->stopped) {
      this->woken = false;
      if (this->all_due || SteadyNow() >= next_scan) {
        this->all_due = false;
        for (int shard = 0; shard < GroupId::kShards; ++shard) this->due.insert(shard);
        // Jitter of a fifth keeps the scans of many instances apart.
        const double factor =
            std::uniform_real_distribution<double>(0.8, 1.2)(this->context.random);
        next_scan =
            SteadyNow() + std::chrono::duration_cast<Duration>(Duration(kScanInterval) * factor);
      }
      this->ScanDue(task);
      this->StartPending();
      const TimePoint until =
          this->due.empty() ? next_scan : std::min(next_scan, SteadyNow() + kScanRetry);
      while (!this->woken && event->WaitUntil(task, until)) {
      }
    }
  });
}

void ShardWorker::Notify(int shard) {
  if (shard < 0 || shard >= GroupId::kShards) return;
  this->due.insert(shard);
  this->woken = true;
  this->wake->NotifyAll();
}

void ShardWorker::OnRosterChange() {
  this->all_due = true;
  this->woken = true;
  this->wake->NotifyAll();
  for (const auto& [id, runner] : this->running) runner->Wake();
}

void ShardWorker::Stop() {
  this->stopped = true;
  this->pending.clear();
  this->woken = true;
  this->wake->NotifyAll();
  for (const auto& [id, runner] : this->running) runner->Wake();
}

int64_t ShardWorker::RunningSamples() const {
  int64_t samples = 0;
  for (const auto& [id, runner] : this->running) {
    samples += runner->Running() > 0 ? runner->Running() : kAssumedSamples;
  }
  return samples;
}

bool ShardWorker::Owns(int shard) {
  const auto roster = this->view.roster();
  if (roster != this->owned_roster) {
    this->owned.clear();
    for (int i = 0; i < GroupId::kShards; ++i) {
      const Member* owner = roster->OwnerOf(GroupId::ShardItem(i));
      if (owner != nullptr && owner->Id() == this->view.self) this->owned.insert(i);
    }
    this->owned_roster = roster;
  }
  return this->owned.count(shard) != 0;
}

void ShardWorker::ScanDue(Task& task) {
  std::set<int> shards;
  shards.swap(this->due);
  for (const int shard : shards) {
    if (this->stopped) return;
    if (this->Owns(shard) && !this->Scan(task, shard)) this->due.insert(shard);
  }
}

bool ShardWorker::Scan(Task& task, int shard) {
  auto markers = this->context.store.ScanShard(task, shard, SteadyNow() + kScanTimeout);
  if (!markers) {
    LogWarning(kPart, "cannot scan a shard",
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
  std::map<std::string, int64_t> groups_of;
  for (const auto& [id, runner] : this->running) ++groups_of[id.trainer];
  int64_t samples = this->RunningSamples();
  while (!this->pending.empty() && samples < kMaxRunningSamples) {
    // The trainer with the fewest groups running here is next, so that none waits for another's
    // whole step; the keys are in the order of steps.
    const auto next = std::min_element(
        this->pending.begin(), this->pending.end(), [&](const auto& a, const auto& b) {
          return groups_of[a.first.trainer] < groups_of[b.first.trainer];
        });
    const SampleStore::Marker marker = std::move(next->second);
    this->pending.erase(next);
    ++groups_of[marker.id.trainer];
    // The number of samples is not known before the group was read.
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
    if (!finished) this->due.insert(shard);
    this->woken = true;
    this->wake->NotifyAll();
  });
}

}  // namespace anvilcroft
