#ifndef ANVILCROFT_RESULT_LISTER_H_
#define ANVILCROFT_RESULT_LISTER_H_

// Lists the results of one batch job in the metadata store, those that are ready together in one
// transaction.
//
// A transaction without an answer is repeated with the same conditions: whichever of the two is
// applied first makes the other one fail. After a failed condition the listing is read again.

#include <memory>

#include "anvilcroft/batch_context.h"

namespace anvilcroft {

class ResultLister {
 public:
  explicit ResultLister(BatchContext& context) : context(context) {}

  // Lists results until the job has ended or this instance no longer owns it.
  void Start(const std::shared_ptr<OwnedJob>& job);

 private:
  void Run(Task& task, const std::shared_ptr<OwnedJob>& job);
  // Reads what is listed and drops it from what is to be listed.
  bool Reload(Task& task, OwnedJob& job);

  BatchContext& context;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_RESULT_LISTER_H_
