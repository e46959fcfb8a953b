#ifndef ANVILCROFT_SHARD_WORKER_H_
#define ANVILCROFT_SHARD_WORKER_H_

// Runs the groups of the shards that this instance owns.
//
// The owner of a shard is the serving member with the highest rendezvous weight for it. An owned
// shard is scanned when a notification names it, when the roster changes, and every 30 s, which
// repairs lost notifications. Two owners for a moment cost redundant work only (group_runner.h).

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
  // Samples running here at once; groups beyond it wait in the table service. A sample's task
  // keeps some tens of KiB of stack and buffers, and an instance has 64 MB for control work.
  static constexpr int64_t kMaxRunningSamples = 512;

  // Samples that a group is assumed to have until it was read.
  static constexpr int64_t kAssumedSamples = 8;

  // `context` must outlive the worker.
  ShardWorker(GroupRunner::Context& context, ClusterView view);

  // Starts the task that scans.
  void Start();

  // Scans `shard` soon if this instance owns it. Unknown numbers are ignored.
  void Notify(int shard);

  // Looks at the ownership of all shards again.
  void OnRosterChange();

  // Starts no more groups and samples. Running samples are completed.
  void Stop();

  // Whether no group is running.
  bool Idle() const { return this->running.empty(); }

  // Number of groups that run here.
  std::size_t RunningGroups() const { return this->running.size(); }
  int64_t RunningSamples() const;

 private:
  // Whether the roster gives `shard` to this instance.
  bool Owns(int shard);
  bool Scan(Task& task, int shard);
  void ScanDue(Task& task);
  void StartPending();
  void StartGroup(const SampleStore::Marker& marker);

  GroupRunner::Context& context;
  ClusterView view;
  // Owned shards at `owned_roster`.
  std::set<int> owned;
  std::shared_ptr<const Roster> owned_roster;
  std::set<int> due;
  std::map<GroupId, SampleStore::Marker> pending;
  std::map<GroupId, std::shared_ptr<GroupRunner>> running;
  std::shared_ptr<Event> wake = std::make_shared<Event>();
  bool woken = false;
  bool all_due = true;
  bool stopped = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SHARD_WORKER_H_
