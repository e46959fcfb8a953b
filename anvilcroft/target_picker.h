#ifndef ANVILCROFT_TARGET_PICKER_H_
#define ANVILCROFT_TARGET_PICKER_H_

// Choice of the target of one piece of work.
//
//   const PickHook pick = TwoChoicesPick();
//   const auto target = pick(eligible, PickContext{zone, typical}, random, now);
//
// TwoChoicesPick is used in production: it compares the scores of two random candidates, which
// avoids that all instances run to the one target whose (old) report looks best, and of the home of
// a popular prompt prefix. The others are baselines for benchmarks, and BestPick, which scores
// every candidate, is the oracle of tests.

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
  double typical = 0;  // typical seconds per unit among the candidates; see TypicalLatency
  // Home of the work's popular prompt prefix, one of the eligible targets; null if it has none.
  std::shared_ptr<TargetState> home = nullptr;
};

// Chooses one of `eligible`, which holds only targets that may get new work. Returns null if it
// is empty.
using PickHook = std::function<std::shared_ptr<TargetState>(
    const Candidates& eligible, const PickContext& context, std::mt19937_64& random,
    TimePoint now)>;

// Median of the candidates' long-term latencies; 0 without observations. The median, because a
// few slow targets must not make slowness look typical.
double TypicalLatency(const Candidates& candidates);

// Cost of giving the next piece of work to `target`, in pieces of work waiting before it. Lower
// is better.
double TargetScore(const TargetState& target, const PickContext& context, TimePoint now);

PickHook TwoChoicesPick();
PickHook BestPick();
PickHook RandomPick();
PickHook RoundRobinPick();
PickHook LeastInFlightPick();

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_PICKER_H_
