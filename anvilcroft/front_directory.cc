#include "anvilcroft/front_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "directory";
constexpr char kEntryTable[] = "front-entries";
constexpr char kHeartbeatTable[] = "front-heartbeats";
// Key of the watcher's row among the entries. Names of instances contain no exclamation mark.
constexpr char kWatchKey[] = "!watch";
constexpr char kSharedMark = '!';
constexpr Duration kCallTimeout = milliseconds(800);
constexpr Duration kFeedWait = milliseconds(1000);
constexpr Duration kRetryPause = milliseconds(100);
// Interval at which an instance checks whether it is the watcher, and at which the watcher reads
// the heartbeats.
constexpr Duration kWatchInterval = milliseconds(300);
// Interval at which the watcher writes its row if nothing has changed.
constexpr Duration kWatchWriteInterval = milliseconds(700);
// Age at which the rows of an instance without heartbeats are removed.
constexpr int64_t kRemoveAfterMs = 60000;

// Instances that reach no target are left out of the answers to callers as long as at least this
// share of all remains.
constexpr double kMinReachingShare = 0.25;

// Sort key of the order of takeover: instances that reach targets first, then larger machines.
using RankKey = std::tuple<bool, double, uint64_t>;
RankKey RankOf(const FrontRecord& front) {
  return {front.cut_off, -front.cpu_share, StableHash("owner" + front.instance)};
}

}  // namespace

std::vector<std::string> AddressesFor(const std::vector<FrontRecord>& fronts,
                                      const std::string& zone, std::size_t max_count) {
  std::vector<std::pair<std::pair<int, uint64_t>, const FrontRecord*>> ordered;
  const auto cut_off = std::count_if(fronts.begin(), fronts.end(),
                                     [](const FrontRecord& front) { return front.cut_off; });
  const double reaching = static_cast<double>(fronts.size()) - static_cast<double>(cut_off);
  const bool leave_out = reaching >= kMinReachingShare * static_cast<double>(fronts.size());
  for (const FrontRecord& front : fronts) {
    if (front.cut_off && leave_out) continue;
    ordered.push_back({{front.zone == zone ? 0 : 1, StableHash(zone + front.instance)}, &front});
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<std::string> addresses;
  for (const auto& [order, front] : ordered) {
    if (addresses.size() >= max_count) break;
    addresses.push_back(front->address);
  }
  return addresses;
}

RowId FrontDirectory::SharedRowId(const std::string& prefix, const std::string& name) {
  return {kEntryTable, "", prefix + name};
}

FrontDirectory::FrontDirectory(Runtime& runtime, MetadataStore& store, FrontRecord self,
                               double store_writes_per_s, double store_reads_per_s)
    : runtime(runtime),
      store(store),
      self(std::move(self)),
      store_writes_per_s(store_writes_per_s),
      store_reads_per_s(store_reads_per_s) {}

void FrontDirectory::Start() {
  this->runtime.SpawnService("follow instances", [this](Task& task) { this->FollowEntries(task); });
  this->runtime.SpawnService("heartbeats", [this](Task& task) { this->SendHeartbeats(task); });
  this->runtime.SpawnService("watch instances", [this](Task& task) { this->Watch(task); });
}

Duration FrontDirectory::Period() const {
  return HeartbeatPeriod(this->entries.size(), this->store_writes_per_s);
}

bool FrontDirectory::WriteEntry(Task& task, TimePoint deadline) {
  // An instance must not count as live for longer than its lifetime after this write.
  this->self.written_at = this->store.StoreTime(BootNow()).earliest;
  const RowBatch batch = RowBatch::Builder()
                             .Put({kEntryTable, "", this->self.instance}, EncodeFront(this->self))
                             .Build();
  return this->store.Commit(task, batch, deadline).has_value();
}

void FrontDirectory::SetCutOff(bool cut_off) {
  if (this->self.cut_off == cut_off) return;
  this->self.cut_off = cut_off;
  this->runtime.Spawn([this, cut_off](Task& task) {
    while (this->following && !this->self.leaving && this->self.cut_off == cut_off &&
           !this->WriteEntry(task, SteadyNow() + kCallTimeout)) {
      SleepUntil(task, SteadyNow() + kRetryPause);
    }
  });
}

void FrontDirectory::SendHeartbeats(Task& task) {
  // The first write needs the store's time and the number of instances.
  while (!this->following) SleepUntil(task, SteadyNow() + milliseconds(10));
  bool written = false;  // by this process, whose addresses may differ from those of an earlier one
  while (!this->self.leaving) {
    const TimePoint started = SteadyNow();
    const TimePoint deadline = started + kCallTimeout;
    if (!written || this->entries.count(this->self.instance) == 0) {
      written = this->WriteEntry(task, deadline);
    } else {
      const std::string partition = HeartbeatPartition(this->self.instance, this->entries.size());
      const RowBatch beat = RowBatch::Builder()
                                .Put({kHeartbeatTable, partition, this->self.instance},
                                     EncodeHeartbeat(this->store.StoreTime(BootNow()).earliest))
                                .Build();
      if (this->store.Commit(task, beat, deadline)) this->RecordAnswer(SteadyNow());
    }
    SleepUntil(task, written ? started + this->Period() : SteadyNow() + kRetryPause);
  }
}

void FrontDirectory::AnnounceLeaving(Task& task, TimePoint deadline) {
  this->self.leaving = true;
  while (SteadyNow() < deadline) {
    if (this->WriteEntry(task, std::min(deadline, SteadyNow() + kCallTimeout))) return;
    SleepUntil(task, SteadyNow() + kRetryPause);
  }
  LogWarning(kPart, "could not write to the metadata store that this instance is leaving");
}

void FrontDirectory::FollowEntries(Task& task) {
  int64_t version = 0;
  while (true) {
    const TimePoint started = SteadyNow();
    bool answered = false;
    if (!this->following) {
      answered = this->following = this->ReadEntries(task, version);
    } else if (const auto feed = this->store.Feed(task, kEntryTable, version, kFeedWait)) {
      answered = true;
      if (feed->history_lost) {
        answered = this->ReadEntries(task, version);
      } else {
        version = std::max(version, feed->version);
        for (const StoredRow& row : feed->rows) this->ApplyRow(row);
        if (!feed->rows.empty()) this->UpdateLive();
      }
    }
    if (answered) {
      this->RecordAnswer(SteadyNow());
      SleepUntil(task, started + this->FeedPause());
    } else {
      SleepUntil(task, SteadyNow() + std::max(kRetryPause, this->FeedPause()));
    }
  }
}

void FrontDirectory::RecordAnswer(TimePoint now) {
  if (this->answered_at != TimePoint() && now - this->answered_at > kMinOutage) {
    this->grace_until = now + kRenewalGrace;
  }
  this->answered_at = now;
}

bool FrontDirectory::ReadEntries(Task& task, int64_t& version) {
  RowRange range;
  range.table = kEntryTable;
  std::vector<StoredRow> rows;
  int64_t first_version = 0;
  while (true) {
    const auto read = this->store.Read(task, range, SteadyNow() + kCallTimeout);
    if (!read) return false;
    // The feed repeats the changes since the first page was read.
    if (first_version == 0) first_version = read->version;
    rows.insert(rows.end(), read->rows.begin(), read->rows.end());
    if (!read->more || read->rows.empty()) break;
    range.from = read->rows.back().id.key + '\x01';
  }
  this->entries.clear();
  this->entry_versions.clear();
  for (const StoredRow& row : rows) this->ApplyRow(row);
  this->UpdateLive();
  version = first_version;
  return true;
}

void FrontDirectory::ApplyRow(const StoredRow& row) {
  if (row.id.key == kWatchKey) {
    // Older than what this instance has written, or read again with all entries: no sign of life.
    if (row.version <= this->watch_version) return;
    this->watch_version = row.removed ? 0 : row.version;
    this->watch_changed_at = SteadyNow();
    if (row.removed) return;
    if (auto decoded = DecodeWatch(row.value)) {
      this->watch = std::move(*decoded);
    } else {
      LogWarning(kPart, "ignored a malformed row of the watcher",
                 {{"error", decoded.error().message}});
    }
    return;
  }
  for (const auto& [prefix, hook] : this->shared_row_hooks) {
    if (row.id.key.compare(0, prefix.size(), prefix) != 0) continue;
    hook(row.id.key.substr(prefix.size()), row);
    return;
  }
  if (row.id.key.empty() || row.id.key.front() == kSharedMark)
    return;  // of a newer version of this program
  this->entries.erase(row.id.key);
  this->entry_versions.erase(row.id.key);
  if (row.removed) return;
  auto record = DecodeFront(row.value);
  if (!record || record->instance != row.id.key) {
    LogWarning(kPart, "ignored a malformed entry of an instance", {{"key", row.id.key}});
    return;
  }
  this->entries.emplace(row.id.key, std::move(*record));
  this->entry_versions[row.id.key] = row.version;
}

void FrontDirectory::UpdateLive() {
  std::vector<FrontRecord> now_live = FilterLiveFronts(this->entries, this->watch.down);
  if (now_live.size() != this->live.size()) {
    LogInfo(kPart, "the number of live instances changed",
            {{"before", std::to_string(this->live.size())},
             {"now", std::to_string(now_live.size())},
             {"watcher", this->watch.watcher}});
  }
  if (now_live != this->live) ++this->live_version;
  this->live = std::move(now_live);
}

void FrontDirectory::Watch(Task& task) {
  const TimePoint started = SteadyNow();
  while (!this->self.leaving) {
    SleepUntil(task, SteadyNow() + kWatchInterval);
    if (!this->following) continue;
    const Duration silence = SteadyNow() - std::max(started, this->watch_changed_at);
    const bool last = this->watch_version != 0 && this->watch.watcher == this->self.instance;
    if (IsWatcher(last, silence, this->TakeoverRank())) this->WatchOnce(task);
  }
}

void FrontDirectory::WatchOnce(Task& task) {
  std::map<std::string, StoreMillis> beats;
  StoreMillis store_time = 0;
  const std::size_t partitions = HeartbeatPartitions(this->entries.size());
  for (std::size_t partition = 0; partition < partitions; ++partition) {
    RowRange range;
    range.table = kHeartbeatTable;
    range.partition = std::to_string(partition);
    const auto read = this->store.Read(task, range, SteadyNow() + kCallTimeout);
    if (!read) return;
    // Heartbeats of the first partitions may come while the last ones are read.
    if (store_time == 0) store_time = read->store_time;
    for (const StoredRow& row : read->rows) {
      const auto beat = DecodeHeartbeat(row.value);
      if (beat) beats[row.id.key] = std::max(beats[row.id.key], *beat);
    }
  }
  const TimePoint now = SteadyNow();
  std::set<std::string> down =
      FindDownFronts(this->entries, beats, store_time, HeartbeatLifetime(this->Period()));
  if (now < this->grace_until) {
    for (auto it = down.begin(); it != down.end();) {
      it = this->watch.down.count(*it) == 0 ? down.erase(it) : std::next(it);
    }
  }
  const bool changed = down != this->watch.down || this->watch.watcher != this->self.instance;
  if (changed || now - this->watch_changed_at > kWatchWriteInterval) {
    FrontWatch next{this->self.instance, this->watch.round + 1, std::move(down)};
    const RowId id{kEntryTable, "", kWatchKey};
    const auto written = this->store.Commit(
        task,
        RowBatch::Builder().Expect(id, this->watch_version).Put(id, EncodeWatch(next)).Build(),
        SteadyNow() + kCallTimeout);
    // If the write failed, the feed brings the row of another watcher.
    if (written && written->committed) {
      this->watch = std::move(next);
      this->watch_version = written->version;
      this->watch_changed_at = SteadyNow();
      this->UpdateLive();
    }
  }
  this->RemoveOldRows(task, beats, store_time);
}

void FrontDirectory::RemoveOldRows(Task& task, const std::map<std::string, StoreMillis>& beats,
                                   StoreMillis store_time) {
  std::string old;  // one instance each time
  for (const auto& [id, front] : this->entries) {
    const auto beat = beats.find(id);
    const StoreMillis last =
        std::max(front.written_at, beat == beats.end() ? StoreMillis{0} : beat->second);
    if (store_time - last >= kRemoveAfterMs) old = id;
  }
  if (old.empty()) return;
  const RowId entry{kEntryTable, "", old};
  this->store.Commit(
      task, RowBatch::Builder().Expect(entry, this->entry_versions[old]).Remove(entry).Build(),
      SteadyNow() + kCallTimeout);
  const std::size_t partitions = HeartbeatPartitions(this->entries.size());
  for (std::size_t i = 0; i < partitions; ++i) {
    this->store.Commit(
        task, RowBatch::Builder().Remove({kHeartbeatTable, std::to_string(i), old}).Build(),
        SteadyNow() + kCallTimeout);
  }
}

int FrontDirectory::TakeoverRank() const {
  int before = 0;
  for (const FrontRecord& front : this->live) {
    if (front.instance != this->self.instance && RankOf(front) < RankOf(this->self)) ++before;
  }
  return before;
}

std::vector<FrontRecord> FrontDirectory::TakeoverOrder() const {
  std::vector<FrontRecord> ordered = this->live;
  std::sort(ordered.begin(), ordered.end(),
            [](const FrontRecord& a, const FrontRecord& b) { return RankOf(a) < RankOf(b); });
  return ordered;
}

std::string FrontDirectory::InternalAddress(const std::string& instance) const {
  for (const FrontRecord& front : this->live) {
    if (front.instance == instance) return front.internal_address;
  }
  return "";
}

std::vector<std::string> FrontDirectory::TakeoverCandidates(std::size_t max_count) const {
  std::vector<std::pair<RankKey, std::string>> ordered;
  for (const FrontRecord& front : this->live) {
    if (front.instance == this->self.instance || front.internal_address.empty()) continue;
    ordered.emplace_back(RankOf(front), front.internal_address);
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < std::min(max_count, ordered.size()); ++i) {
    addresses.push_back(std::move(ordered[i].second));
  }
  return addresses;
}

}  // namespace anvilcroft
