#include "anvilcroft/store_access.h"

namespace anvilcroft {

StoreAccess StoreAccess::FromClients(TableClient& table, CommitQueue& queue) {
  StoreAccess access;
  access.commit = [&table](Task& task, const Transaction& transaction, TimePoint deadline) {
    return table.Commit(task, transaction, deadline);
  };
  access.commit_small = [&queue](Task& task, const Transaction& transaction, TimePoint deadline) {
    return queue.Commit(task, transaction, deadline);
  };
  access.read = [&table](Task& task, const std::string& name, const std::string& key,
                         TimePoint deadline) { return table.Read(task, name, key, deadline); };
  access.scan = [&table](Task& task, const std::string& name, const std::string& prefix,
                         std::size_t max_rows, TimePoint deadline) {
    return table.Scan(task, name, prefix, max_rows, deadline);
  };
  return access;
}

}  // namespace anvilcroft
