#ifndef ANVILCROFT_BATCH_SERVICE_H_
#define ANVILCROFT_BATCH_SERVICE_H_

// What callers may ask about batch jobs, at any instance: the answers come from the metadata store,
// and from memory where they cannot change.

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/batch_store.h"
#include "anvilcroft/metadata_store.h"
#include "anvilcroft/route_table.h"
#include "platform/ingress.h"

namespace anvilcroft {

class BatchService {
 public:
  // Time between looks at the store while a caller waits for the next result.
  static constexpr Duration kPollEvery = milliseconds(50);
  // Longest time for the store to answer one of these calls.
  static constexpr Duration kStoreTime = milliseconds(900);
  static constexpr std::size_t kMaxCachedHeads = 512;
  static constexpr std::size_t kMaxCachedJobs = 4;  // with their bodies, about 200 KB each

  using Routes = std::function<std::shared_ptr<const RouteTable>()>;

  BatchService(BatchStore& store, MetadataStore& metadata, Routes routes)
      : store(store), metadata(metadata), routes(std::move(routes)) {}

  // Keeps a job. After an error with ran = no, no part of it runs or will run.
  Result<void> Submit(Task& task, BatchJob job, TimePoint deadline);

  // Results from position `from` on; waits up to `wait` for the first one. nullopt: no such job.
  Result<std::optional<platform::ResultPage>> Results(Task& task, const std::string& job,
                                                      int64_t from, Duration wait);

  // The body of an item; nullopt: there is no such item.
  Result<std::optional<std::string>> ItemBody(Task& task, const std::string& job,
                                              const std::string& item);

  // Ends a job. Returns whether there is such a job.
  Result<bool> End(Task& task, const std::string& job);

 private:
  using Bodies = std::map<std::string, std::string>;  // by item

  // The number of items of a job, or nullopt without such a job.
  Result<std::optional<int64_t>> Total(Task& task, const std::string& job);

  BatchStore& store;
  MetadataStore& metadata;
  Routes routes;
  std::map<std::string, int64_t> totals;
  std::list<std::string> totals_order;               // oldest first
  std::list<std::pair<std::string, Bodies>> bodies;  // newest first
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_SERVICE_H_
