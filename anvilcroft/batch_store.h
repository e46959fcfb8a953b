#ifndef ANVILCROFT_BATCH_STORE_H_
#define ANVILCROFT_BATCH_STORE_H_

// Batch jobs in the metadata store: submission, end, results, and what a new owner reads.
//
// Errors are those of MetadataStore. After kOutcomeUnknown the caller may not say that nothing was
// done.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/item_text.h"
#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

// The results of a job as its owner lists them.
struct Listing {
  int64_t count = 0;
  int64_t version = 0;  // of the row that holds the count; 0: it does not exist yet
};

class BatchStore {
 public:
  explicit BatchStore(MetadataStore& store) : store(store) {}

  // Stores the whole job, unless a job of that id exists already. Returns whether it was new.
  // A write without an answer is repeated until it is settled or `deadline` passes.
  Result<bool> Submit(Task& task, const BatchJob& job, TimePoint deadline);

  // nullopt: there is no such job.
  Result<std::optional<BatchHead>> ReadHead(Task& task, const std::string& job, TimePoint deadline);
  Result<std::vector<BatchItem>> ReadItems(Task& task, const std::string& job, TimePoint deadline);

  // Results from position `from` on, at most `max_results`.
  Result<std::vector<ItemResult>> ReadResults(Task& task, const std::string& job, int64_t from,
                                              int64_t max_results, TimePoint deadline);
  Result<Listing> ReadListing(Task& task, const std::string& job, TimePoint deadline);

  // Lists `results` at the positions from `listing.count` on, if nobody has listed another one
  // since. Returns the listing after it; kConflict: another owner has listed results.
  Result<Listing> Append(Task& task, const std::string& job, const Listing& listing,
                         const std::vector<ItemResult>& results, TimePoint deadline);

  // Saves texts of unfinished items, by item, for the next owner. Texts that are saved already are
  // replaced; a save that is applied late leaves an older text, which is as good a beginning.
  Result<void> SaveTexts(Task& task, const std::string& job,
                         const std::vector<std::pair<std::string, ItemText>>& texts,
                         TimePoint deadline);
  Result<std::map<std::string, ItemText>> ReadTexts(Task& task, const std::string& job,
                                                    TimePoint deadline);

  // Ends a job. Returns whether there is such a job; ending it again changes nothing.
  Result<bool> End(Task& task, const std::string& job, TimePoint deadline);

  // The ids of all open jobs.
  Result<std::vector<std::string>> OpenJobs(Task& task, TimePoint deadline);

 private:
  MetadataStore& store;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_STORE_H_
