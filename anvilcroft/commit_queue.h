#ifndef ANVILCROFT_COMMIT_QUEUE_H_
#define ANVILCROFT_COMMIT_QUEUE_H_

// Group commit: transactions that wait while another is under way travel to the table service
// together, as one.
//
//   Result<RowVersion> version = queue.Commit(task, transaction, deadline);
//
// Each transaction has its own outcome, with the errors of TableClient::Commit. When a check of
// one fails, that one gets kConflict and the others are sent again. A group holds at most
// Transaction::kMaxWrites writes and kMaxGroupBytes bytes of values, and no two transactions that
// touch a common row: with both in one group, the checks of the second would be judged against the
// state before the first.

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
  // Most transactions that may wait; more are refused with kOverloaded, ran = no.
  static constexpr std::size_t kMaxWaiting = 4096;

  // Most bytes of values in one group of several transactions. The table service takes 1 MiB; the
  // rest is left for keys, checks and the escapes of strings.
  static constexpr std::size_t kMaxGroupBytes = 512 * 1024;

  using CommitHook = std::function<Result<RowVersion>(Task&, const Transaction&, TimePoint)>;

  // `commit` sends one transaction, as TableClient::Commit does.
  explicit CommitQueue(CommitHook commit);

  // Applies `transaction` by itself or within a group. A transaction whose turn does not come
  // before `deadline` fails with kDeadlineExceeded, ran = no.
  Result<RowVersion> Commit(Task& task, const Transaction& transaction, TimePoint deadline);

 private:
  struct Entry;
  using Group = std::vector<std::shared_ptr<Entry>>;

  Group TakeGroup(TimePoint now);
  void SendGroup(Task& task, Group group);
  void Drain(Task& task);

  CommitHook commit;
  std::deque<std::shared_ptr<Entry>> waiting;
  bool sending = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_COMMIT_QUEUE_H_
