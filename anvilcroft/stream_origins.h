#ifndef ANVILCROFT_STREAM_ORIGINS_H_
#define ANVILCROFT_STREAM_ORIGINS_H_

// Records in the metadata store which version of the software began a stream, and looks it up when
// a caller takes the stream up at any instance (stream_origin.h).
//
//   auto write = origins.StartRecord(attempt, origin, stream_time, nullptr, now);
//   ... the request is sent to the target meanwhile ...
//   if (origins.Confirm(task, *write) != OriginWrite::State::kConfirmed) ... forward no event ...
//
//   Result<std::vector<StreamOrigin>> origins = origins.Find(task, attempt, route.split);
//
// The record is durable before the caller gets the first event. An instance may have missed engines
// that joined and a new default while it was frozen or cut off, so it says which version began a
// stream only from rows that it has asked for after the stream was taken up.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/metadata_store.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/stream_origin.h"
#include "anvilcroft/target_pool.h"

namespace anvilcroft {

// One record that is being written.
struct OriginWrite {
  enum class State {
    kPending,
    kConfirmed,
    kNotWritten,  // the store did nothing
    kUnknown,     // the record may have been written, or may still be
  };

  RowId row;
  StreamOrigin origin;
  std::string value;
  TimePoint deadline;
  int64_t expected_version = 0;  // of the row in the store
  bool maybe_written = false;    // a call has got no answer
  State state = State::kPending;
  Event changed;  // notified when `state` is no longer kPending
};

class StreamOrigins {
 public:
  using Routes = std::function<std::shared_ptr<const RouteTable>()>;

  // Streams are recorded in this many partitions, each of which the store serves separately.
  static constexpr std::size_t kPartitions = 16;
  // Most records in one transaction, and the time within which one must be confirmed.
  static constexpr std::size_t kMaxBatch = 50;
  static constexpr Duration kWriteTimeout = milliseconds(1500);
  static constexpr Duration kReadTimeout = milliseconds(700);

  StreamOrigins(Runtime& runtime, MetadataStore& store, FrontDirectory& directory,
                const TargetPool& pool, Routes routes)
      : runtime(runtime), store(store), directory(directory), pool(pool), routes(routes) {}

  void Start();

  // Whether `origin` has the default version of its service, and all instances know that.
  bool IsDefault(const StreamOrigin& origin, Duration stream_time) const;

  // Whether a stream that `origin` begins on a route to `split` needs no record: all its services
  // have the same default version.
  bool Implied(const StreamOrigin& origin, const TrafficSplit& split, Duration stream_time) const;

  // Whether records can be written at present: the last call to the store was answered.
  bool CanRecord() const { return this->store.LastFailure() <= this->store.LastAnswer(); }

  // Starts to record that `origin` begins the stream of the attempt `attempt`, which its caller may
  // take up for `stream_time`. `earlier` is the last record for the same attempt, or null; it must
  // not be pending.
  std::shared_ptr<OriginWrite> StartRecord(const std::string& attempt, const StreamOrigin& origin,
                                           Duration stream_time,
                                           const std::shared_ptr<OriginWrite>& earlier,
                                           TimePoint now);

  // Blocks the task until the record is durable or has failed.
  OriginWrite::State Confirm(Task& task, OriginWrite& write);

  // Finds the origins that can continue the stream whose first event `attempt` brought, on a route
  // to `split`: the one of its record, or the default version of each service. An empty `attempt`,
  // which the caller has not named, stands for the default version as long as no stream of another
  // one is recorded. Fails with ran = no if it can't be known at present, or if a stream without a
  // record may have been begun by different versions.
  Result<std::vector<StreamOrigin>> Find(Task& task, const std::string& attempt,
                                         const TrafficSplit& split);

 private:
  // A search of all records. All that ask before it begins share it.
  struct Search {
    bool ended = false;
    std::optional<Error> failed;
    std::map<std::string, std::set<std::string>> versions;  // by service
  };

  static RowId RowOf(const std::string& attempt);

  // Reads one row; nullopt: it does not exist.
  Result<std::optional<StoredRow>> ReadRow(Task& task, const RowId& id);
  // The default version of `service`; nullopt: it has none, so nothing without a record.
  Result<std::optional<std::string>> ReadDefault(Task& task, const std::string& service);
  // The versions of `service` that have begun a recorded stream, from a search that begins now or
  // later.
  Result<std::set<std::string>> RecordedVersions(Task& task, const std::string& service);
  void RunSearch(Task& task, Search& search);

  void ApplyDefaultRow(const std::string& service, const StoredRow& row);
  // Watches which versions serve, and writes the defaults of services with resumable streams.
  void WatchVersions(Task& task);
  void WriteDefault(Task& task, const std::string& service, const std::string& software);
  // Writes the queued records of one partition until there are none.
  void Flush(Task& task, const std::string& partition);
  // Writes `batch` in one transaction. Puts records that must be written again back into the queue.
  void WriteBatch(Task& task, const std::string& partition,
                  const std::vector<std::shared_ptr<OriginWrite>>& batch);
  static void Finish(OriginWrite& write, OriginWrite::State state);

  // Removes the expired records that this instance has written, or all if it is the first in the
  // order of takeover.
  void RemoveExpired(Task& task);
  void RemoveRows(Task& task, std::vector<RowId> rows);

  // Whether this instance has seen another version than the default within kMaxStreamTime.
  bool OtherSeenLately(const std::string& service, TimePoint now) const;

  struct ServiceVersions {
    std::optional<DefaultSoftware> known;
    int64_t row_version = 0;  // of the default's row; 0: there is none
    TimePoint default_seen_at;
    TimePoint other_seen_at;  // a target of another version was listed
  };

  Runtime& runtime;
  MetadataStore& store;
  FrontDirectory& directory;
  const TargetPool& pool;
  Routes routes;
  TimePoint started_at;
  std::map<std::string, ServiceVersions> services;
  std::map<std::string, std::deque<std::shared_ptr<OriginWrite>>> queues;  // by partition
  std::set<std::string> flushing;                                          // partitions
  std::multimap<TimePoint, RowId> written;                                 // by time of expiry
  std::shared_ptr<Search> next_search;  // has not begun; null: nobody waits for one
  bool searching = false;
  Event search_ended;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STREAM_ORIGINS_H_
