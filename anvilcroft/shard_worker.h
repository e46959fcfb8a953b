#ifndef ANVILCROFT_SHARD_WORKER_H_
#define ANVILCROFT_SHARD_WORKER_H_

// Runs the groups of the shards that this instance owns.
//
// The owner of a shard is the serving member with the highest rendezvous weight for it. An owned
// shard is scanned after a notification for it, after a change of the roster, and every 30 s to
// make up for lost notifications. While a change of the roster spreads, a shard can have two
// owners; this causes redundant work only (see group_runner.h).

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/event.h"
#include "anvilcroft/group_runner.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/sample_store.h"

namespace anvilcroft {

class ShardWorker {
 public:
  static constexpr Duration kScanInterval = seconds(30);
  static constexpr Duration kScanRetry = seconds(1);
  // No group is started while this many samples run on this instance; further groups wait in the
  // table service. The task of a sample uses some tens of KiB of stack and buffers, and an instance
  // has 64 MB for control work.
  static constexpr int64_t kMaxRunningSamples = 512;

  // Number of samples assumed for a group before its row is read.
  static constexpr int64_t kAssumedSamples = 8;

  // `context` must outlive the worker.
  ShardWorker(GroupRunner::Context& context, ClusterView view);

  // Starts the task that scans the shards.
  void Start();

  // Schedules an immediate scan of `shard` if this instance owns it. Numbers out of range are
  // ignored.
  void Notify(int shard);

  // Schedules a scan of all owned shards and stops new attempts in groups of shards that are no
  // longer owned.
  void OnRosterChange();

  // Prevents new groups and new attempts at samples. Attempts in progress are completed.
  void Stop();

  // Whether no group is running.
  bool Idle() const { return this->running.empty(); }

  std::size_t RunningGroups() const { return this->running.size(); }
  // Includes kAssumedSamples for each group without a running sample task.
  int64_t RunningSamples() const;

 private:
  // Whether this instance is the owner of `shard` in the current roster.
  bool Owns(int shard);
  // Adds the groups of `shard` that do not run yet to `pending`. Returns false if the scan
  // fails.
  bool Scan(Task& task, int shard);
  void ScanDue(Task& task);
  void StartPending();
  void StartGroup(const SampleStore::Marker& marker);

  GroupRunner::Context& context;
  ClusterView view;
  // The shards owned according to `owned_roster`.
  std::set<int> owned_shards;
  std::shared_ptr<const Roster> owned_roster;
  std::set<int> due_shards;                        // to be scanned
  std::map<GroupId, SampleStore::Marker> pending;  // groups found by scans and not started yet
  std::map<GroupId, std::shared_ptr<GroupRunner>> running;
  std::shared_ptr<Event> wake_event = std::make_shared<Event>();
  bool wake_requested = false;  // keeps a request that arrives while the task is not waiting
  bool all_shards_due = true;
  bool stopped = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SHARD_WORKER_H_
