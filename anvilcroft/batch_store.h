#ifndef ANVILCROFT_BATCH_STORE_H_
#define ANVILCROFT_BATCH_STORE_H_

// Batch jobs in the metadata store: submission, end, results, and the state that a new owner reads.
//
// Errors are those of MetadataStore. After kOutcomeUnknown a write may have been applied, so the
// caller must not report that nothing was done.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/fleet/listing_claims.h"
#include "anvilcroft/item_text.h"
#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

// Number of results of a job that have been stored, with the version for the next append.
struct ResultListing {
  int64_t count = 0;
  int64_t version = 0;  // of the row that holds the count; 0: no such row yet
  ListingClaims claims;
  int own_slice = -1;  // the slice that this owner has claimed; -1: none, it lists without claims
};

class BatchStore {
 public:
  explicit BatchStore(MetadataStore& store) : store(store) {}

  // Stores the whole job unless a job with this id exists. Returns whether it was new. A write that
  // gets no answer is retried until its outcome is clear or `deadline` passes. An error has
  // Ran::kUnknown if the job may have been stored. Fails with kTooLarge if an item does not fit
  // into one row.
  Result<bool> Submit(Task& task, const BatchJob& job, TimePoint deadline);

  // Returns nullopt if the job does not exist.
  Result<std::optional<BatchHead>> ReadHead(Task& task, const std::string& job, TimePoint deadline);
  // What has been read of the items of a job, which never change.
  struct ItemsRead {
    std::vector<BatchItem> items;
    std::string next_key;  // of the first row that has not been read
    bool complete = false;
  };
  // Reads the items of a job from where `progress` ends. If a call fails or `deadline` passes, what
  // has been read remains in `progress`. Each call has a time limit of its own, because the number
  // of calls grows with the job.
  Result<void> ReadItems(Task& task, const std::string& job, ItemsRead& progress,
                         TimePoint deadline);

  // Returns results from position `from` on, at most `max_results`. The first one may take several
  // calls, each with a time limit of its own.
  Result<std::vector<ItemResult>> ReadResults(Task& task, const std::string& job, int64_t from,
                                              int64_t max_results, TimePoint deadline);
  Result<ResultListing> ReadListing(Task& task, const std::string& job, TimePoint deadline);

  // Stores `results` at the positions from `listing.count` on, on the condition that none has been
  // added since `listing` was read. Stores only as many as fit into one transaction, at least one.
  // Returns the listing after the append. Fails with kConflict if another owner has added results.
  Result<ResultListing> AppendResults(Task& task, const std::string& job,
                                      const ResultListing& listing,
                                      const std::vector<ItemResult>& results, TimePoint deadline);

  // Replaces the claims on the listing, on the condition that nothing has been added or claimed
  // since `listing` was read. Fails with kConflict otherwise.
  Result<ResultListing> Claim(Task& task, const std::string& job, const ResultListing& listing,
                              const ListingClaims& claims, TimePoint deadline);

  // Saves the texts of unfinished items, by item id, for the next owner. Replaces texts saved
  // before. A write that is applied late leaves an older text, from which the next owner can
  // continue as well. Texts that do not fit into one row are skipped.
  Result<void> SaveTexts(Task& task, const std::string& job,
                         const std::vector<std::pair<std::string, ItemText>>& texts,
                         TimePoint deadline);
  // Each call has a time limit of its own.
  Result<std::map<std::string, ItemText>> ReadTexts(Task& task, const std::string& job,
                                                    TimePoint deadline);

  // Ends a job if `may_end` allows it. Returns whether the job exists and was allowed to end.
  // Ending it again changes nothing. Retries until `deadline`; errors of the store are returned
  // with Ran::kUnknown.
  Result<bool> End(Task& task, const std::string& job, TimePoint deadline,
                   const std::function<bool(const BatchHead&)>& may_end);

  // Returns the ids of all open jobs.
  Result<std::vector<std::string>> ListOpenJobs(Task& task, TimePoint deadline);

 private:
  MetadataStore& store;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_STORE_H_
