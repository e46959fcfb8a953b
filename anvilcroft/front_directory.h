#ifndef ANVILCROFT_FRONT_DIRECTORY_H_
#define ANVILCROFT_FRONT_DIRECTORY_H_

// The directory of front instances: which of them are live, to tell callers which ones to use, and
// in which order they take over duties.
//
// Each instance writes an entry of its own into the metadata store once, and a small heartbeat
// periodically. One instance, the watcher, reads the heartbeats and writes which instances are
// down. All instances follow the feed of the entries and of the watcher's row, so that what they
// read grows with the changes and not with the number of instances (front_watch.h).
//
// An instance that reaches no target says so in its entry, so that callers and other instances can
// do without it.
//
// No instance can write heartbeats during an outage of the store, so for a grace period after one
// the watcher takes no further instance for down.

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/fleet/feed_pace.h"
#include "anvilcroft/front_record.h"
#include "anvilcroft/front_watch.h"
#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

// Returns at most `max_count` addresses for a caller in `zone`: first those of instances in its
// zone, then the others, each spread by a hash of the zone and the instance's name. Leaves out
// instances that are cut off from all targets while enough others are left. Pure.
std::vector<std::string> AddressesFor(const std::vector<FrontRecord>& fronts,
                                      const std::string& zone, std::size_t max_count);

class FrontDirectory {
 public:
  // After an outage of the store of kMinOutage or more, instances can write heartbeats again within
  // kRenewalGrace.
  static constexpr Duration kMinOutage = milliseconds(1500);
  static constexpr Duration kRenewalGrace = milliseconds(2000);

  // `store_writes_per_s`, `store_reads_per_s`: number of calls that the store takes in a second;
  // reads may be 0: not limited.
  FrontDirectory(Runtime& runtime, MetadataStore& store, FrontRecord self,
                 double store_writes_per_s, double store_reads_per_s);

  // Minimum time between two calls of this instance to the same feed of the store.
  Duration FeedPause() const { return FeedInterval(this->entries.size(), this->store_reads_per_s); }

  // Sets the "ip:port" addresses for callers and for other instances. Call before Start.
  void SetAddresses(std::string caller_address, std::string internal_address) {
    this->self.address = std::move(caller_address);
    this->self.internal_address = std::move(internal_address);
  }

  // The entry of this instance.
  const FrontRecord& Self() const { return this->self; }

  // Marks this instance's entry as cut off from all targets, or no longer so. The entry is written
  // as soon as the store answers.
  void SetCutOff(bool cut_off);

  // The row `name` of a kind of rows that all instances share. They are among the entries, because
  // all instances follow their feed. `prefix` begins with an exclamation mark.
  static RowId SharedRowId(const std::string& prefix, const std::string& name);

  // Called with the name of each row of a kind that is read or has changed. Set before Start.
  using SharedRowHook = std::function<void(const std::string& name, const StoredRow& row)>;
  void SetSharedRowHook(std::string prefix, SharedRowHook hook) {
    this->shared_row_hooks[std::move(prefix)] = std::move(hook);
  }

  void Start();

  // Whether the entries have been read.
  bool Following() const { return this->following; }

  // Stops the heartbeats and marks this instance's entry as leaving. Retries until `deadline`; logs
  // a warning if no write was confirmed.
  void AnnounceLeaving(Task& task, TimePoint deadline);

  // The instances that callers may use. Empty until the entries have been read once.
  const std::vector<FrontRecord>& LiveFronts() const { return this->live; }
  // Increases whenever LiveFronts() changes.
  int64_t LiveVersion() const { return this->live_version; }

  // Number of live instances that precede this one in the order of takeover, in which larger
  // machines come first.
  int TakeoverRank() const;

  // All live instances in the order of takeover.
  std::vector<FrontRecord> TakeoverOrder() const;

  // Internal addresses of up to `max_count` other live instances, in the order of takeover.
  std::vector<std::string> TakeoverCandidates(std::size_t max_count) const;

  // Internal address of a live instance; empty if it is not known.
  std::string InternalAddress(const std::string& instance) const;

 private:
  // Writes the entry if it is missing and the heartbeats.
  void SendHeartbeats(Task& task);
  // Follows the entries and the watcher's row.
  void FollowEntries(Task& task);
  // Reads all entries. Returns whether the store answered.
  bool ReadEntries(Task& task, int64_t& version);
  void ApplyRow(const StoredRow& row);
  // Watches the heartbeats while this instance is the watcher.
  void Watch(Task& task);
  void WatchOnce(Task& task);
  // Removes the rows of instances whose last heartbeat is long ago.
  void RemoveOldRows(Task& task, const std::map<std::string, StoreMillis>& beats,
                     StoreMillis store_time);
  void UpdateLive();
  // Records that the store has answered; starts the grace period after an outage.
  void RecordAnswer(TimePoint now);
  // Writes this instance's entry. Returns whether the store confirmed it.
  bool WriteEntry(Task& task, TimePoint deadline);
  Duration Period() const;

  Runtime& runtime;
  MetadataStore& store;
  FrontRecord self;
  double store_writes_per_s;
  double store_reads_per_s;
  std::map<std::string, FrontRecord> entries;  // by instance
  std::map<std::string, int64_t> entry_versions;
  FrontWatch watch;
  int64_t watch_version = 0;  // of the watcher's row; 0: there is none
  TimePoint watch_changed_at;
  std::vector<FrontRecord> live;
  int64_t live_version = 0;
  std::map<std::string, SharedRowHook> shared_row_hooks;  // by prefix
  bool following = false;                                 // the entries have been read
  TimePoint answered_at;  // last answer of the store to the feed or a heartbeat
  TimePoint grace_until;  // until then no further instance is taken for down
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_DIRECTORY_H_
