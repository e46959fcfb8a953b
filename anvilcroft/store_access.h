#ifndef ANVILCROFT_STORE_ACCESS_H_
#define ANVILCROFT_STORE_ACCESS_H_

// The table service as the rollout part uses it: hooks with the shape and the errors of
// TableClient, so that tests can supply a table of their own.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/commit_queue.h"
#include "anvilcroft/table_client.h"

namespace anvilcroft {

struct StoreAccess {
  // Sends one transaction by itself: for transactions with large contents.
  CommitQueue::CommitHook commit;
  // Applies a small transaction, possibly within a group.
  CommitQueue::CommitHook commit_small;
  std::function<Result<std::optional<Row>>(Task&, const std::string& table, const std::string& key,
                                           TimePoint deadline)>
      read;
  std::function<Result<std::vector<Row>>(Task&, const std::string& table, const std::string& prefix,
                                         std::size_t max_rows, TimePoint deadline)>
      scan;

  // Hooks over `table` and `queue`, which must outlive them.
  static StoreAccess Of(TableClient& table, CommitQueue& queue);
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STORE_ACCESS_H_
