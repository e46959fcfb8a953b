#ifndef ANVILCROFT_PLATFORM_VIEW_H_
#define ANVILCROFT_PLATFORM_VIEW_H_

// Tracks the tables of the metadata store that others write: the configuration, the weight versions
// that trainers request, and the list of targets.
//
// The configuration's version never decreases within a process. A target whose entry disappears
// shortly after a failed call to the store is kept for kReappearGrace.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "anvilcroft/event.h"
#include "anvilcroft/metadata_store.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/target_pool.h"

namespace anvilcroft {

class PlatformView {
 public:
  // Maximum wait of one call to a feed. A connection that no longer delivers responses is detected
  // soon after this time.
  static constexpr Duration kFeedWait = milliseconds(600);
  static constexpr Duration kRetryPause = milliseconds(100);
  // An entry that disappears is kept until this long after the last failed call to the store,
  // because it may reappear.
  static constexpr Duration kReappearGrace = milliseconds(2200);

  // `on_change` is called after each change of what is tracked. `feed_pause` returns the minimum
  // time between two calls to the feed of targets.
  PlatformView(Runtime& runtime, MetadataStore& store, TargetPool& pool,
               std::function<void()> on_change, std::function<Duration()> feed_pause);

  void Start();

  // The current configuration; null until one has been read.
  std::shared_ptr<const RouteTable> Routes() const { return this->routes; }
  // The newest weight version that a trainer has requested, by model.
  const std::map<std::string, int64_t>& RequestedVersions() const {
    return this->requested_versions;
  }
  // The row of Routes() as the store returned it; empty until one has been read.
  const std::string& RoutesRow() const { return this->routes_row; }
  // When the configuration was last confirmed to be the newest; TimePoint(): never. This is the
  // start of the call that confirmed it.
  TimePoint RoutesConfirmedAt() const { return this->routes_confirmed_at; }
  // When the store last answered whether there is a newer configuration.
  TimePoint RoutesAnsweredAt() const { return this->routes_answered_at; }

  // Puts the configuration in `row` into force if it is valid and newer than the current one.
  // Returns whether it did.
  bool ApplyConfiguration(const std::string& row);

 private:
  void FollowOperatorTable(Task& task);
  void FollowTargetTable(Task& task);
  void ApplyOperatorRow(const StoredRow& row);
  void ApplyTargetRow(const StoredRow& row, TimePoint now);
  // Calls `apply` with each row of the unnamed partition of `table`, and returns the version from
  // which the feed continues. Holds one page at a time: others write to the table, and it may be
  // larger than the memory of the process.
  Result<int64_t> ReadAll(Task& task, const std::string& table,
                          const std::function<void(const StoredRow&)>& apply);
  // How long a target whose entry disappears at `now` is kept.
  Duration RemovalGrace(TimePoint now) const;

  Runtime& runtime;
  MetadataStore& store;
  TargetPool& pool;
  std::function<void()> on_change;
  std::function<Duration()> feed_pause;
  std::shared_ptr<const RouteTable> routes;
  std::map<std::string, int64_t> requested_versions;
  std::string routes_row;
  TimePoint routes_confirmed_at;
  TimePoint routes_answered_at;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PLATFORM_VIEW_H_
