#include "anvilcroft/commit_queue.h"

#include <algorithm>
#include <optional>
#include <sstream>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

std::vector<std::size_t> ParseIndexes(const std::string& list) {
  std::vector<std::size_t> indexes;
  std::istringstream in(list);
  std::size_t index = 0;
  while (in >> index) {
    indexes.push_back(index);
    in.ignore(1);
  }
  return indexes;
}

std::size_t ValueBytes(const Transaction& transaction) {
  std::size_t bytes = 0;
  for (const auto& write : transaction.Writes()) bytes += DumpJson(write.value).size();
  return bytes;
}

}  // namespace

struct CommitQueue::Entry {
  Transaction transaction;
  std::size_t bytes = 0;  // of the values
  TimePoint deadline;
  std::optional<Result<RowVersion>> outcome;
  Event done;

  void Finish(Result<RowVersion> result) {
    this->outcome = std::move(result);
    this->done.NotifyAll();
  }
};

CommitQueue::CommitQueue(CommitHook commit) : commit(std::move(commit)) {}

Result<RowVersion> CommitQueue::Commit(Task& task, const Transaction& transaction,
                                       TimePoint deadline) {
  if (this->waiting.size() >= kMaxWaiting) {
    return Fail(ErrorCode::kOverloaded, "too many transactions are waiting for the table service");
  }
  const auto entry = std::make_shared<Entry>();
  entry->transaction = transaction;
  entry->bytes = ValueBytes(transaction);
  entry->deadline = deadline;
  this->waiting.push_back(entry);
  if (!this->sending) {
    this->sending = true;
    RuntimeOf(task).Spawn([this](Task& sender) { this->Drain(sender); });
  }
  while (!entry->outcome) entry->done.Wait(task);
  return *entry->outcome;
}

void CommitQueue::Drain(Task& task) {
  while (!this->waiting.empty()) {
    this->SendGroup(task, this->DequeueGroup(SteadyNow()));
  }
  this->sending = false;
}

CommitQueue::Group CommitQueue::DequeueGroup(TimePoint now) {
  Group group;
  std::size_t writes = 0;
  std::size_t bytes = 0;
  for (auto it = this->waiting.begin(); it != this->waiting.end();) {
    const std::shared_ptr<Entry>& entry = *it;
    if (entry->deadline <= now) {
      entry->Finish(
          Fail(ErrorCode::kDeadlineExceeded,
               "the deadline passed before the transaction was sent to the table service"));
      it = this->waiting.erase(it);
      continue;
    }
    const std::size_t added_writes = entry->transaction.Writes().size();
    const bool fits = group.empty() || (writes + added_writes <= Transaction::kMaxWrites &&
                                        bytes + entry->bytes <= kMaxGroupBytes);
    const bool overlaps = std::any_of(group.begin(), group.end(), [&](const auto& member) {
      return member->transaction.Overlaps(entry->transaction);
    });
    if (!fits) break;
    if (overlaps) {
      ++it;
      continue;
    }
    writes += added_writes;
    bytes += entry->bytes;
    group.push_back(entry);
    it = this->waiting.erase(it);
  }
  return group;
}

void CommitQueue::SendGroup(Task& task, Group group) {
  while (!group.empty()) {
    Transaction combined;
    std::vector<std::size_t> owner_of_check;
    TimePoint deadline = group.front()->deadline;
    for (std::size_t i = 0; i < group.size(); ++i) {
      combined = combined.MergedWith(group[i]->transaction);
      owner_of_check.insert(owner_of_check.end(), group[i]->transaction.Checks().size(), i);
      deadline = std::max(deadline, group[i]->deadline);
    }
    const Result<RowVersion> result = this->commit(task, combined, deadline);
    if (result || result.error().code != ErrorCode::kConflict) {
      for (const auto& entry : group) entry->Finish(result);
      return;
    }
    // The error lists failed checks by their index in the combined transaction. They are translated
    // to indexes within each transaction of the group.
    std::vector<std::string> failed_checks(group.size());
    std::vector<std::size_t> first_check(group.size(), 0);
    for (std::size_t i = 1; i < group.size(); ++i) {
      first_check[i] = first_check[i - 1] + group[i - 1]->transaction.Checks().size();
    }
    for (const std::size_t index : ParseIndexes(result.error().part)) {
      if (index >= owner_of_check.size()) continue;
      const std::size_t owner = owner_of_check[index];
      failed_checks[owner] +=
          (failed_checks[owner].empty() ? "" : ",") + std::to_string(index - first_check[owner]);
    }
    Group rest;
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (failed_checks[i].empty()) {
        rest.push_back(group[i]);
      } else {
        group[i]->Finish(tl::unexpected<Error>(result.error().WithPart(failed_checks[i])));
      }
    }
    if (rest.size() == group.size()) {
      // The conflict names no check of this group, so it cannot be attributed to a transaction.
      for (const auto& entry : group) entry->Finish(result);
      return;
    }
    group = std::move(rest);
  }
}

}  // namespace anvilcroft
