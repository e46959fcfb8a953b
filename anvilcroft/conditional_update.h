#ifndef ANVILCROFT_CONDITIONAL_UPDATE_H_
#define ANVILCROFT_CONDITIONAL_UPDATE_H_

// Optimistic update of rows of the table service: a loop of read, decide and commit.
//
//   return ApplyUpdate<RowVersion>(task, store.commit, deadline, [&](Task& task) {
//     ... read the rows; if they already show the change: UpdatePlan<RowVersion>::Settled(...)
//     ... otherwise a plan with a transaction that checks the versions of the rows read
//   });
//
// After a conflict, an outage or a lost answer, the plan is made again from newly read rows. The
// rows then show whether a transaction whose answer was lost has applied, so every plan must
// recognise its own earlier write.

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include "anvilcroft/commit_queue.h"
#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/time.h"
#include "anvilcroft/transaction.h"

namespace anvilcroft {

template <typename T>
struct UpdatePlan {
  // The outcome, if the rows already show it; then nothing is written.
  std::optional<T> settled;
  Transaction transaction;
  // Returns the outcome after `transaction` was committed with the given version.
  std::function<T(RowVersion)> outcome;

  static UpdatePlan Settled(T value) {
    UpdatePlan plan;
    plan.settled = std::move(value);
    return plan;
  }
  static UpdatePlan Write(Transaction transaction, std::function<T(RowVersion)> outcome) {
    UpdatePlan plan;
    plan.transaction = std::move(transaction);
    plan.outcome = std::move(outcome);
    return plan;
  }
};

// Runs the loop until it succeeds or `deadline` passes. Conflicts of the transaction,
// kStoreUnavailable and kOverloaded are retried; any other error ends the loop, also kConflict from
// `make_plan`. The returned error has ran = kUnknown if the answer of any transaction was lost.
template <typename T>
Result<T> ApplyUpdate(Task& task, const CommitQueue::CommitHook& commit, TimePoint deadline,
                      const std::function<Result<UpdatePlan<T>>(Task&)>& make_plan) {
  constexpr Duration kFirstBackoff = milliseconds(20);
  constexpr Duration kLongestBackoff = seconds(1);
  bool lost_answer = false;
  Duration backoff = kFirstBackoff;
  while (true) {
    Error failure;
    Result<UpdatePlan<T>> plan = make_plan(task);
    if (plan) {
      if (plan->settled) return std::move(*plan->settled);
      const Result<RowVersion> version = commit(task, plan->transaction, deadline);
      if (version) return plan->outcome(*version);
      failure = version.error();
      lost_answer = lost_answer || failure.ran != Ran::kNo;
    } else {
      failure = plan.error();
    }
    const TimePoint now = SteadyNow();
    const bool conflict = plan && failure.code == ErrorCode::kConflict;
    if (conflict && now < deadline) continue;
    const bool retry = conflict || failure.code == ErrorCode::kStoreUnavailable ||
                       failure.code == ErrorCode::kOverloaded;
    if (!retry || now + backoff >= deadline) {
      return tl::unexpected<Error>(lost_answer ? failure.WithRan(Ran::kUnknown) : failure);
    }
    SleepUntil(task, now + backoff);
    backoff = std::min(backoff * 2, kLongestBackoff);
  }
}

}  // namespace anvilcroft

#endif  // ANVILCROFT_CONDITIONAL_UPDATE_H_
