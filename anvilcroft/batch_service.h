#ifndef ANVILCROFT_BATCH_SERVICE_H_
#define ANVILCROFT_BATCH_SERVICE_H_

// Callers' operations on batch jobs, available at every instance. They use the metadata store; data
// that cannot change after submission is cached.

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/batch_store.h"
#include "anvilcroft/customers/caller_identity.h"
#include "anvilcroft/metadata_store.h"
#include "anvilcroft/route_table.h"
#include "platform/ingress.h"

namespace anvilcroft {

class BatchService {
 public:
  // Interval between reads of the store while a caller waits for the next result.
  static constexpr Duration kPollInterval = milliseconds(50);
  // Timeout of one read of the store.
  static constexpr Duration kStoreTimeout = milliseconds(900);
  static constexpr Duration kItemsTimeout = seconds(3);  // for all items of the largest job
  // Jobs whose head is cached.
  static constexpr std::size_t kMaxCachedHeads = 512;
  // Jobs whose item bodies are cached, about 200 KB each.
  static constexpr std::size_t kMaxCachedJobs = 4;

  using Routes = std::function<std::shared_ptr<const RouteTable>()>;

  BatchService(BatchStore& store, MetadataStore& metadata, Routes routes)
      : store(store), metadata(metadata), routes(std::move(routes)) {}

  // Stores a job for execution. Submitting a job that is already stored succeeds, unless it belongs
  // to another customer: then it fails with kConflict. After an error with Ran::kNo, no part of the
  // job has run or will run. Fails with kNotReady before the first answer from the store; otherwise
  // with the errors of BatchStore.
  Result<void> Submit(Task& task, BatchJob job, TimePoint deadline);

  // Returns results from position `from` on, at most 500. Waits up to `wait` if there are none yet.
  // Returns nullopt if `caller` has no such job.
  Result<std::optional<platform::ResultPage>> Results(Task& task, const CallerIdentity& caller,
                                                      const std::string& job, int64_t from,
                                                      Duration wait);

  // Returns the request body of an item, or nullopt if `caller` has no such item.
  Result<std::optional<std::string>> ItemBody(Task& task, const CallerIdentity& caller,
                                              const std::string& job, const std::string& item);

  // Ends a job. Returns whether `caller` has such a job.
  Result<bool> End(Task& task, const CallerIdentity& caller, const std::string& job);

 private:
  using Bodies = std::map<std::string, std::string>;  // by item

  // The head of a job, in which `ended` may be outdated, or nullopt if `caller` has no such job.
  Result<std::optional<BatchHead>> FindHead(Task& task, const CallerIdentity& caller,
                                            const std::string& job);
  bool MayUse(const CallerIdentity& caller, const BatchHead& head) const;

  BatchStore& store;
  MetadataStore& metadata;
  Routes routes;
  std::map<std::string, BatchHead> heads;            // by job
  std::list<std::string> heads_order;                // oldest first
  std::list<std::pair<std::string, Bodies>> bodies;  // by job; newest first
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_SERVICE_H_
