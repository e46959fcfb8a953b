#ifndef ANVILCROFT_WEIGHT_CATALOG_H_
#define ANVILCROFT_WEIGHT_CATALOG_H_

// The newest weights of every service: publishes them and keeps a copy of the table `weights`.
//
//   WeightCatalog catalog(runtime, store, [&] { control.Wake(); });
//   catalog.Start();
//   Result<WeightRecord> published = catalog.Publish(task, record, deadline);
//   int64_t version = catalog.Desired("route-model");
//
// The copy is read again when OnWeightsChange() is called and every 10 s. A version in it only
// rises.

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
  // Most services with weights.
  static constexpr std::size_t kMaxServices = 1000;

  // `changed` is called after a version in the copy has risen.
  WeightCatalog(Runtime& runtime, StoreAccess store, std::function<void()> changed);

  // Starts the task that keeps the copy fresh.
  void Start();

  // Makes `record` the newest weights of its service, in one transaction with the head row. The
  // recorded version again is a success without a write. Errors: kStaleVersion (a higher version
  // is recorded), kStoreUnavailable.
  Result<WeightRecord> Publish(Task& task, const WeightRecord& record, TimePoint deadline);

  // Version of the newest weights of `service` known here; 0 if there are none.
  int64_t Desired(const std::string& service) const;

  // The newest weights of `service` known here.
  std::optional<WeightRecord> Find(const std::string& service) const;

  // Reads the table again soon.
  void OnWeightsChange();

 private:
  void Refresh(Task& task);
  void Keep(const WeightRecord& record);

  Runtime& runtime;
  StoreAccess store;
  std::function<void()> changed;
  std::map<std::string, WeightRecord> newest;
  std::shared_ptr<Event> wake = std::make_shared<Event>();
  bool refresh_due = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_WEIGHT_CATALOG_H_
