#ifndef ANVILCROFT_RESULT_LISTER_H_
#define ANVILCROFT_RESULT_LISTER_H_

// Appends the results of batch jobs to their listings in the metadata store. Results of a job that
// are ready at the same time are listed in one transaction.
//
// A transaction without an answer is repeated under the same conditions. Whichever of the two is
// applied first makes the conditions of the other fail. After a failed condition the listing is
// read again.
//
// If several slices have an owner, each of them claims the listing first (fleet/listing_claims.h).
// As long as its claim stands, only the position of the next append is read again.

#include <memory>

#include "anvilcroft/batch_context.h"

namespace anvilcroft {

class ResultLister {
 public:
  explicit ResultLister(BatchContext& context) : context(context) {}

  // Starts a task that lists the results of `job` until the job ends or this instance no longer
  // owns it.
  void Start(const std::shared_ptr<OwnedJob>& job);

  // Claims the own slice under the plan `generation` in `listing`, as it was just read, unless
  // there is one slice and no claim. Results that were listed before are to be read after this.
  // Fails with kConflict if the listing has changed or the plan is not the present one.
  Result<ResultListing> Claim(Task& task, const std::string& job, int64_t generation,
                              ResultListing listing);

 private:
  void Run(Task& task, const std::shared_ptr<OwnedJob>& job);
  // Reads the listing again and removes the listed results from job.unlisted_results. Returns
  // whether the store answered.
  bool Reload(Task& task, OwnedJob& job);

  BatchContext& context;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_RESULT_LISTER_H_
