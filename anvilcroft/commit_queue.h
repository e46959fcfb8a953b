#ifndef ANVILCROFT_COMMIT_QUEUE_H_
#define ANVILCROFT_COMMIT_QUEUE_H_

// Group commit: transactions that queue up while another is in progress are sent to the table
// service together, as one transaction.
//
//   Result<RowVersion> version = queue.Commit(task, transaction, deadline);
//
// Each transaction has its own outcome, with the errors of TableClient::Commit. If a check of
// one fails, only that one gets kConflict, and the others are sent again. A group holds at most
// Transaction::kMaxWrites writes and kMaxGroupBytes bytes of values, and no two transactions that
// touch a common row: with both in one group, the checks of the second would be evaluated against
// the state before the first.

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/event.h"
#include "anvilcroft/row.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/transaction.h"

namespace anvilcroft {

class CommitQueue {
 public:
  // Maximum number of waiting transactions; further ones fail with kOverloaded, ran = no.
  static constexpr std::size_t kMaxWaiting = 4096;

  // Maximum bytes of values in a group of several transactions. The table service accepts 1 MiB;
  // the rest is reserved for keys, checks and escape sequences in strings.
  static constexpr std::size_t kMaxGroupBytes = 512 * 1024;

  using CommitHook = std::function<Result<RowVersion>(Task&, const Transaction&, TimePoint)>;

  // `commit` sends one transaction, as TableClient::Commit does.
  explicit CommitQueue(CommitHook commit);

  // Applies `transaction` by itself or within a group. A transaction that could not be sent before
  // `deadline` fails with kDeadlineExceeded, ran = no.
  Result<RowVersion> Commit(Task& task, const Transaction& transaction, TimePoint deadline);

 private:
  struct Entry;
  using Group = std::vector<std::shared_ptr<Entry>>;

  Group DequeueGroup(TimePoint now);
  void SendGroup(Task& task, Group group);
  void Drain(Task& task);

  CommitHook commit;
  std::deque<std::shared_ptr<Entry>> waiting;
  bool sending = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_COMMIT_QUEUE_H_
