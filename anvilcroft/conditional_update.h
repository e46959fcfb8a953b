#ifndef ANVILCROFT_CONDITIONAL_UPDATE_H_
#define ANVILCROFT_CONDITIONAL_UPDATE_H_

// The read, decide, commit loop of a change to rows of the table service.
//
//   return ApplyUpdate<RowVersion>(task, store.commit, deadline, [&](Task& task) {
//     ... read the rows; if they already show the change: UpdatePlan<RowVersion>::Settled(...)
//     ... otherwise a plan with a transaction that checks the versions of the rows read
//   });
//
// The plan is made again from fresh rows after a conflict, an outage and a lost answer, so a
// transaction whose answer was lost is settled by what the rows show. Every plan must therefore
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
  // Set if the rows already show the outcome; then nothing is written.
  std::optional<T> settled;
  Transaction transaction;
  // The outcome once `transaction` has applied with this version.
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

// Runs the loop until `deadline`. An error of `make_plan` other than kStoreUnavailable ends it.
// The error's `ran` is kUnknown if any transaction's answer was lost and could not be settled.
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
