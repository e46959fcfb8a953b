#ifndef ANVILCROFT_PLATFORM_VIEW_H_
#define ANVILCROFT_PLATFORM_VIEW_H_

// Follows what others write to the metadata store: the configuration, the weight versions that
// trainers name, and the list of targets.
//
// The configuration's version never falls within a process. Entries of targets that vanish around
// an outage of the store are kept until two seconds after its return.

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
  // Longest wait of one call of a feed: a silent connection shows soon after it.
  static constexpr Duration kFeedWait = milliseconds(600);
  static constexpr Duration kRetryPause = milliseconds(100);
  // After trouble of the store, entries that vanished may come back for this long.
  static constexpr Duration kReturnGrace = milliseconds(2200);

  // `on_change` is called after any change.
  PlatformView(Runtime& runtime, MetadataStore& store, TargetPool& pool,
               std::function<void()> on_change);

  void Start();

  // Null until the first configuration has been read.
  std::shared_ptr<const RouteTable> Routes() const { return this->routes; }
  const std::map<std::string, int64_t>& NamedVersions() const { return this->named; }
  // When the configuration was last known to be the newest; TimePoint(): never.
  TimePoint RoutesConfirmedAt() const { return this->routes_confirmed_at; }

 private:
  void FollowOperator(Task& task);
  void FollowTargets(Task& task);
  void ApplyOperatorRow(const StoredRow& row);
  void ApplyTargetRow(const StoredRow& row, TimePoint now);
  // All rows of the unnamed partition of `table`, and the store's version.
  Result<RangeResult> ReadAll(Task& task, const std::string& table);
  // How long a target that vanishes now is kept.
  Duration GraceAt(TimePoint now) const;

  Runtime& runtime;
  MetadataStore& store;
  TargetPool& pool;
  std::function<void()> on_change;
  std::shared_ptr<const RouteTable> routes;
  std::map<std::string, int64_t> named;
  TimePoint routes_confirmed_at;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PLATFORM_VIEW_H_
