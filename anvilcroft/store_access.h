#ifndef ANVILCROFT_STORE_ACCESS_H_
#define ANVILCROFT_STORE_ACCESS_H_

// Access of the rollout part to the table service, as hooks with the parameters and errors of
// TableClient. Tests supply hooks over a table in memory.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/commit_queue.h"
#include "anvilcroft/table_client.h"

namespace anvilcroft {

struct StoreAccess {
  // Commits one transaction by itself. For transactions with large values.
  CommitQueue::CommitHook commit;
  // Commits a small transaction, possibly combined with others by the CommitQueue.
  CommitQueue::CommitHook commit_small;
  std::function<Result<std::optional<Row>>(Task&, const std::string& table, const std::string& key,
                                           TimePoint deadline)>
      read;
  std::function<Result<std::vector<Row>>(Task&, const std::string& table, const std::string& prefix,
                                         std::size_t max_rows, TimePoint deadline)>
      scan;

  // Returns hooks that call `table` and `queue`, both of which must outlive the hooks.
  static StoreAccess FromClients(TableClient& table, CommitQueue& queue);
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STORE_ACCESS_H_
