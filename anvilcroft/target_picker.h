#ifndef ANVILCROFT_TARGET_PICKER_H_
#define ANVILCROFT_TARGET_PICKER_H_

// Policies that choose the target for one work item.
//
//   const PickHook pick = TwoChoicesPick();
//   const auto target = pick(eligible, PickContext{zone, typical}, random, now);
//
// TwoChoicesPick is used in production. It compares the scores of two random candidates, so that
// instances do not all choose the one target whose (outdated) load report looks best, and of the
// home target of a popular prompt prefix. The other policies are baselines for benchmarks;
// BestPick, which scores every candidate, is the oracle of tests.

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "anvilcroft/target_state.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

using Candidates = std::vector<std::shared_ptr<TargetState>>;

struct PickContext {
  std::string zone;    // of this instance
  double typical = 0;  // typical seconds per unit of work; see TypicalLatency
  // Home target of the work's popular prompt prefix, one of the eligible targets, or null.
  std::shared_ptr<TargetState> home = nullptr;
};

// Returns one of `eligible`, which holds only targets that may get new work, or null if it is
// empty.
using PickHook = std::function<std::shared_ptr<TargetState>(
    const Candidates& eligible, const PickContext& context, std::mt19937_64& random,
    TimePoint now)>;

// Returns the median of the candidates' long-term mean latencies in seconds per unit of work, or 0
// without observations. The median is used so that a few slow targets do not raise the value.
double TypicalLatency(const Candidates& candidates);

// Returns the cost of sending the next work item to `target`, as an equivalent number of items
// queued before it. Lower is better.
double TargetScore(const TargetState& target, const PickContext& context, TimePoint now);

PickHook TwoChoicesPick();
PickHook BestPick();
PickHook RandomPick();
PickHook RoundRobinPick();
PickHook LeastInFlightPick();

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_PICKER_H_
