#ifndef ANVILCROFT_RESULT_LISTER_H_
#define ANVILCROFT_RESULT_LISTER_H_

// Appends the results of batch jobs to their listings in the metadata store. Results of a job that
// are ready at the same time are listed in one transaction.
//
// A transaction without an answer is repeated under the same conditions. Whichever of the two is
// applied first makes the conditions of the other fail. After a failed condition the listing is
// read again.

#include <memory>

#include "anvilcroft/batch_context.h"

namespace anvilcroft {

class ResultLister {
 public:
  explicit ResultLister(BatchContext& context) : context(context) {}

  // Starts a task that lists the results of `job` until the job ends or this instance no longer
  // owns it.
  void Start(const std::shared_ptr<OwnedJob>& job);

 private:
  void Run(Task& task, const std::shared_ptr<OwnedJob>& job);
  // Reads the listing again and removes the listed results from job.unlisted_results. Returns
  // whether the store answered.
  bool Reload(Task& task, OwnedJob& job);

  BatchContext& context;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_RESULT_LISTER_H_
