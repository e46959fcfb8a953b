#include "anvilcroft/stream_origins.h"

#include <algorithm>

#include "anvilcroft/hash.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "streams";
constexpr char kOriginTable[] = "stream-origins";
// Prefix of the keys of default versions among the entries of instances.
constexpr char kDefaultPrefix[] = "!software/";
constexpr Duration kWatchInterval = milliseconds(500);
constexpr Duration kCallTimeout = milliseconds(700);
constexpr Duration kRetryPause = milliseconds(20);
constexpr Duration kCleanInterval = seconds(20);
// Streams are taken up for this much longer than their callers said, because of the way to them.
constexpr Duration kExpiryMargin = seconds(5);
constexpr std::size_t kMaxRemovals = 100;  // rows in one transaction

// Names of the services with streams that callers may take up.
std::set<std::string> ResumableServices(const RouteTable& routes) {
  std::set<std::string> services;
  for (const ServiceRoute& route : routes.Routes()) {
    if (route.kind != RouteKind::kStream || !route.resumable) continue;
    for (const ServiceShare& share : route.split.All()) services.insert(share.service);
  }
  return services;
}

}  // namespace

RowId StreamOrigins::RowOf(const std::string& attempt) {
  // Attempt ids come from callers and may be longer than a key.
  return {kOriginTable, std::to_string(StableHash(attempt) % kPartitions), HexDigest(attempt)};
}

void StreamOrigins::Start() {
  this->started_at = SteadyNow();
  this->directory.SetSharedRowHook(kDefaultPrefix,
                                   [this](const std::string& service, const StoredRow& row) {
                                     this->ApplyDefaultRow(service, row);
                                   });
  this->runtime.SpawnService("watch software versions",
                             [this](Task& task) { this->WatchVersions(task); });
  this->runtime.SpawnService("remove old stream records", [this](Task& task) {
    while (true) {
      SleepUntil(task, SteadyNow() + kCleanInterval);
      this->RemoveExpired(task);
    }
  });
}

void StreamOrigins::ApplyDefaultRow(const std::string& service, const StoredRow& row) {
  ServiceVersions& versions = this->services[service];
  if (row.version < versions.row_version) return;  // older than what this instance has written
  versions.row_version = row.removed ? 0 : row.version;
  if (row.removed) {
    versions.known.reset();
    return;
  }
  const auto value = DecodeDefaultSoftware(row.value);
  if (!value) {
    LogWarning(kPart, "ignored a malformed default version of a service",
               {{"service", service}, {"error", value.error().message}});
    return;
  }
  if (!versions.known || versions.known->software != value->software) {
    LogInfo(kPart, "the default software version of a service changed",
            {{"service", service},
             {"before", versions.known ? versions.known->software : "none"},
             {"software", value->software}});
    versions.default_seen_at = SteadyNow();
  }
  versions.known = *value;
}

void StreamOrigins::WatchVersions(Task& task) {
  while (true) {
    SleepUntil(task, SteadyNow() + kWatchInterval);
    const auto routes = this->routes();
    if (!routes || !this->directory.Following()) continue;
    for (const std::string& service : ResumableServices(*routes)) {
      const TimePoint now = SteadyNow();
      std::map<std::string, std::size_t> targets;
      for (const auto& [id, target] : this->pool.All()) {
        if (target.entry.service == service) ++targets[target.entry.software];
      }
      ServiceVersions& versions = this->services[service];
      for (const auto& [software, count] : targets) {
        if (!versions.known) break;
        const bool is_default = versions.known->software == software;
        (is_default ? versions.default_seen_at : versions.other_seen_at) = now;
      }
      const Duration absent = now - std::max(versions.default_seen_at, this->started_at);
      if (const auto next = NextDefaultSoftware(versions.known, targets, absent)) {
        this->WriteDefault(task, service, *next);
      }
    }
  }
}

void StreamOrigins::WriteDefault(Task& task, const std::string& service,
                                 const std::string& software) {
  const RowId id = FrontDirectory::SharedRowId(kDefaultPrefix, service);
  const DefaultSoftware value{software, this->store.StoreTime(BootNow()).latest};
  const std::string encoded = EncodeDefaultSoftware(value);
  const int64_t expected = this->services[service].row_version;
  // If another instance has written it meanwhile, the feed brings its row.
  const auto written =
      this->store.Commit(task, RowBatch::Builder().Expect(id, expected).Put(id, encoded).Build(),
                         SteadyNow() + kCallTimeout);
  if (written && written->committed) {
    this->ApplyDefaultRow(service, StoredRow{id, encoded, written->version, false});
  }
}

bool StreamOrigins::IsDefault(const StreamOrigin& origin, Duration stream_time) const {
  const auto found = this->services.find(origin.service);
  return found != this->services.end() &&
         IsImplied(origin.software, found->second.known, stream_time,
                   this->store.StoreTime(BootNow()).earliest);
}

bool StreamOrigins::Implied(const StreamOrigin& origin, const TrafficSplit& split,
                            Duration stream_time) const {
  if (!this->IsDefault(origin, stream_time)) return false;
  const auto& shares = split.Active();
  return std::all_of(shares.begin(), shares.end(), [&](const ServiceShare& share) {
    const auto found = this->services.find(share.service);
    // A service without a default version has begun no stream without a record.
    return found == this->services.end() || !found->second.known ||
           found->second.known->software == origin.software;
  });
}

bool StreamOrigins::OtherSeenLately(const std::string& service, TimePoint now) const {
  const auto found = this->services.find(service);
  return found != this->services.end() && found->second.other_seen_at != TimePoint() &&
         now - found->second.other_seen_at <= kMaxStreamTime;
}

std::shared_ptr<OriginWrite> StreamOrigins::StartRecord(const std::string& attempt,
                                                        const StreamOrigin& origin,
                                                        Duration stream_time,
                                                        const std::shared_ptr<OriginWrite>& earlier,
                                                        TimePoint now) {
  const Duration lifetime = stream_time + kExpiryMargin;
  auto write = std::make_shared<OriginWrite>();
  write->row = RowOf(attempt);
  write->origin = origin;
  write->value =
      EncodeOrigin({origin, this->store.StoreTime(BootNow()).latest + ToMillis(lifetime)});
  write->deadline = now + kWriteTimeout;
  if (earlier) {
    write->expected_version = earlier->expected_version;
    write->maybe_written = earlier->maybe_written;
  }
  this->written.emplace(now + lifetime, write->row);
  const std::string partition = write->row.partition;
  this->queues[partition].push_back(write);
  if (this->flushing.insert(partition).second) {
    this->runtime.Spawn([this, partition](Task& task) { this->Flush(task, partition); });
  }
  return write;
}

OriginWrite::State StreamOrigins::Confirm(Task& task, OriginWrite& write) {
  while (write.state == OriginWrite::State::kPending) write.changed.Wait(task);
  return write.state;
}

void StreamOrigins::Finish(OriginWrite& write, OriginWrite::State state) {
  write.state = state;
  write.changed.NotifyAll();
}

void StreamOrigins::Flush(Task& task, const std::string& partition) {
  // Records that arrive during a transaction are written together by the next one.
  while (!this->queues[partition].empty()) {
    auto& queue = this->queues[partition];
    std::vector<std::shared_ptr<OriginWrite>> batch;
    std::set<RowId> rows;
    while (!queue.empty() && batch.size() < kMaxBatch && rows.insert(queue.front()->row).second) {
      batch.push_back(std::move(queue.front()));
      queue.pop_front();
    }
    this->WriteBatch(task, partition, batch);
  }
  this->queues.erase(partition);
  this->flushing.erase(partition);
}

void StreamOrigins::WriteBatch(Task& task, const std::string& partition,
                               const std::vector<std::shared_ptr<OriginWrite>>& batch) {
  RowBatch::Builder rows;
  for (const auto& write : batch) {
    rows.Expect(write->row, write->expected_version).Put(write->row, write->value);
  }
  const TimePoint started = SteadyNow();
  const auto result = this->store.Commit(task, rows.Build(), started + kCallTimeout);
  if (result && result->committed) {
    for (const auto& write : batch) {
      write->expected_version = result->version;
      Finish(*write, OriginWrite::State::kConfirmed);
    }
    return;
  }
  if (result) {
    std::map<RowId, StoredRow> current;
    for (const StoredRow& row : result->current) current[row.id] = row;
    for (const auto& write : batch) {
      const auto found = current.find(write->row);
      write->expected_version = found == current.end() ? 0 : found->second.version;
      const bool same = found != current.end() && found->second.version != 0 &&
                        found->second.value == write->value;
      if (same) Finish(*write, OriginWrite::State::kConfirmed);
    }
  }
  const bool unknown = !result && result.error().code != ErrorCode::kStoreUnavailable &&
                       result.error().code != ErrorCode::kOverloaded;
  const TimePoint now = SteadyNow();
  bool again = false;
  for (const auto& write : batch) {
    if (write->state != OriginWrite::State::kPending) continue;
    write->maybe_written = write->maybe_written || unknown;
    const bool refused = !result && result.error().code == ErrorCode::kStoreUnavailable;
    if (now >= write->deadline || (refused && !write->maybe_written)) {
      LogInfo(kPart, "could not record which software version began a stream",
              {{"software", write->origin.software},
               {"maybe_written", write->maybe_written ? "true" : "false"},
               {"error", result ? "conflict" : ErrorCodeName(result.error().code)}});
      Finish(*write,
             write->maybe_written ? OriginWrite::State::kUnknown : OriginWrite::State::kNotWritten);
      continue;
    }
    this->queues[partition].push_back(write);
    again = true;
  }
  if (again && !result) SleepUntil(task, now + kRetryPause);
}

Result<std::optional<StoredRow>> StreamOrigins::ReadRow(Task& task, const RowId& id) {
  RowRange range;
  range.table = id.table;
  range.partition = id.partition;
  range.from = id.key;
  range.to = id.key + '\x01';
  range.max_rows = 1;
  auto read = this->store.Read(task, range, SteadyNow() + kReadTimeout);
  if (!read) return tl::unexpected<Error>(read.error());
  if (read->rows.empty() || read->rows.front().id.key != id.key) return std::optional<StoredRow>();
  return std::optional<StoredRow>(std::move(read->rows.front()));
}

void StreamOrigins::RunSearch(Task& task, Search& search) {
  for (std::size_t i = 0; i < kPartitions && !search.failed; ++i) {
    RowRange range;
    range.table = kOriginTable;
    range.partition = std::to_string(i);
    bool more = true;
    while (more) {
      const auto read = this->store.Read(task, range, SteadyNow() + kReadTimeout);
      if (!read) {
        search.failed = read.error();
        break;
      }
      for (const StoredRow& row : read->rows) {
        const auto record = DecodeOrigin(row.value);
        if (!record) {
          search.failed = record.error();  // it may be of any version
          break;
        }
        if (record->expires_at < read->store_time) continue;
        search.versions[record->origin.service].insert(record->origin.software);
      }
      more = read->more && !read->rows.empty() && !search.failed;
      if (more) range.from = read->rows.back().id.key + '\x01';
    }
  }
  search.ended = true;
}

Result<std::set<std::string>> StreamOrigins::RecordedVersions(Task& task,
                                                              const std::string& service) {
  if (!this->next_search) this->next_search = std::make_shared<Search>();
  const std::shared_ptr<Search> search = this->next_search;
  while (!search->ended) {
    if (this->searching) {
      this->search_ended.Wait(task);
      continue;
    }
    this->searching = true;
    this->next_search.reset();
    this->RunSearch(task, *search);
    this->searching = false;
    this->search_ended.NotifyAll();
  }
  if (search->failed) return tl::unexpected<Error>(*search->failed);
  return search->versions[service];
}

Result<std::optional<std::string>> StreamOrigins::ReadDefault(Task& task,
                                                              const std::string& service) {
  const auto row = this->ReadRow(task, FrontDirectory::SharedRowId(kDefaultPrefix, service));
  if (!row) return tl::unexpected<Error>(row.error());
  if (!*row) return std::optional<std::string>();
  const auto known = DecodeDefaultSoftware((*row)->value);
  if (!known) return tl::unexpected<Error>(known.error());
  return std::optional<std::string>(known->software);
}

Result<std::vector<StreamOrigin>> StreamOrigins::Find(Task& task, const std::string& attempt,
                                                      const TrafficSplit& split) {
  const auto unknown = [&](const std::string& reason) {
    LogInfo(kPart, "cannot say which software version began a stream",
            {{"attempt", attempt}, {"reason", reason}});
    return Fail(ErrorCode::kStoreUnavailable, "it is not known which software began the stream");
  };
  std::set<std::string> recorded;
  if (attempt.empty()) {
    for (const ServiceShare& share : split.Active()) {
      if (this->OtherSeenLately(share.service, SteadyNow())) {
        return unknown("another version serves");
      }
      const auto versions = this->RecordedVersions(task, share.service);
      if (!versions) return unknown(versions.error().message);
      recorded.insert(versions->begin(), versions->end());
    }
  } else {
    const auto row = this->ReadRow(task, RowOf(attempt));
    if (!row) return unknown(row.error().message);
    if (*row) {
      const auto record = DecodeOrigin((*row)->value);
      if (!record) return tl::unexpected<Error>(record.error().WithRan(Ran::kNo));
      return std::vector<StreamOrigin>{record->origin};
    }
  }
  std::vector<StreamOrigin> origins;
  for (const ServiceShare& share : split.Active()) {
    const auto software = this->ReadDefault(task, share.service);
    if (!software) return unknown(software.error().message);
    if (!*software) continue;
    if (!origins.empty() && origins.front().software != **software) {
      return unknown("the services of the route have different default versions");
    }
    origins.push_back({share.service, **software});
  }
  if (origins.empty()) return unknown("no service of the route has a default version");
  recorded.erase(origins.front().software);
  if (!recorded.empty()) return unknown("another version has begun streams");
  return origins;
}

void StreamOrigins::RemoveExpired(Task& task) {
  std::vector<RowId> rows;
  const TimePoint now = SteadyNow();
  while (!this->written.empty() && this->written.begin()->first <= now) {
    rows.push_back(std::move(this->written.begin()->second));
    this->written.erase(this->written.begin());
  }
  // The instance that wrote a record may have been lost.
  for (std::size_t i = 0; this->directory.TakeoverRank() == 0 && i < kPartitions; ++i) {
    RowRange range;
    range.table = kOriginTable;
    range.partition = std::to_string(i);
    const auto read = this->store.Read(task, range, SteadyNow() + kCallTimeout);
    if (!read) break;
    for (const StoredRow& row : read->rows) {
      const auto record = DecodeOrigin(row.value);
      if (!record || record->expires_at < read->store_time) rows.push_back(row.id);
    }
  }
  this->RemoveRows(task, std::move(rows));
}

void StreamOrigins::RemoveRows(Task& task, std::vector<RowId> rows) {
  std::map<std::string, RowBatch::Builder> batches;  // by partition
  std::map<std::string, std::size_t> sizes;
  for (RowId& row : rows) {
    const std::string partition = row.partition;
    // What does not fit is found again by the first instance in the order of takeover.
    if (++sizes[partition] <= kMaxRemovals) batches[partition].Remove(std::move(row));
  }
  for (const auto& [partition, batch] : batches) {
    this->store.Commit(task, batch.Build(), SteadyNow() + kCallTimeout);
  }
}

}  // namespace anvilcroft
