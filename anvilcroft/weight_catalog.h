#ifndef ANVILCROFT_WEIGHT_CATALOG_H_
#define ANVILCROFT_WEIGHT_CATALOG_H_

// Publishes the weights of services and caches the newest weights of every service, which are
// stored in the table `weights`.
//
//   WeightCatalog catalog(runtime, store, [&] { control.CheckNow(); });
//   catalog.Start();
//   Result<WeightRecord> published = catalog.Publish(task, record, deadline);
//   int64_t version = catalog.NewestVersion("route-model");
//
// The cache is refreshed every 10 s and when OnWeightsChange() is called. A cached version never
// decreases.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/event.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/store_access.h"
#include "anvilcroft/weight_record.h"

namespace anvilcroft {

class WeightCatalog {
 public:
  static constexpr Duration kRefreshInterval = seconds(10);
  // Maximum number of services with weights.
  static constexpr std::size_t kMaxServices = 1000;

  // `changed` is called after a cached version has increased.
  WeightCatalog(Runtime& runtime, StoreAccess store, std::function<void()> changed);

  // Starts the task that refreshes the cache.
  void Start();

  // Records `record` as the newest weights of its service and increments the weights version of the
  // head row in the same transaction. If this version is already recorded, returns the recorded
  // weights without a write. Errors: kStaleVersion (a higher version is recorded), kInternal (the
  // recorded row is malformed), kStoreUnavailable.
  Result<WeightRecord> Publish(Task& task, const WeightRecord& record, TimePoint deadline);

  // The cached version of the newest weights of `service`; 0 if there are none.
  int64_t NewestVersion(const std::string& service) const;

  // The cached newest weights of `service`; nullopt if there are none.
  std::optional<WeightRecord> Find(const std::string& service) const;

  // Refreshes the cache now instead of after kRefreshInterval.
  void OnWeightsChange();

 private:
  void Refresh(Task& task);
  void RecordIfNewer(const WeightRecord& record);

  Runtime& runtime;
  StoreAccess store;
  std::function<void()> changed;
  std::map<std::string, WeightRecord> newest;
  std::shared_ptr<Event> refresh_event = std::make_shared<Event>();
  bool refresh_due = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_WEIGHT_CATALOG_H_
