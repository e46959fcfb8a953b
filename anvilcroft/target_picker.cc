#include "anvilcroft/target_picker.h"

#include <algorithm>

namespace anvilcroft {
namespace {

// A target in another zone costs as much as one more work item in flight. Links between zones are
// costly, so the zone decides between two candidates with similar load.
constexpr double kOtherZoneCost = 1;
// Cost of each multiple of the typical latency beyond the first, in work items.
constexpr double kSlownessCost = 4;
constexpr double kMaxSlownessCost = 64;
// Score advantage of the home target of a popular prefix, in work items. With 8 engines, 4 gives
// lower mean latencies than 2, and both give lower ones than no home target.
constexpr double kHomeScoreAdvantage = 4;

std::size_t RandomIndex(std::size_t size, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

}  // namespace

double TypicalLatency(const Candidates& candidates) {
  std::vector<double> means;
  means.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    if (candidate->MeanLatency() > 0) means.push_back(candidate->MeanLatency());
  }
  if (means.empty()) return 0;
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

double TargetScore(const TargetState& target, const PickContext& context, TimePoint now) {
  const double zone_cost = target.Description().Zone() == context.zone ? 0 : kOtherZoneCost;
  const double slowness = kSlownessCost * (target.Slowness(context.typical, now) - 1);
  return static_cast<double>(target.InFlight()) + target.DiscountedLoad(now) + zone_cost +
         std::min(slowness, kMaxSlownessCost);
}

PickHook TwoChoicesPick() {
  return [](const Candidates& eligible, const PickContext& context, std::mt19937_64& random,
            TimePoint now) -> std::shared_ptr<TargetState> {
    if (eligible.empty()) return nullptr;
    const std::size_t first = RandomIndex(eligible.size(), random);
    if (eligible.size() == 1) return eligible[first];
    std::size_t second = RandomIndex(eligible.size() - 1, random);
    if (second >= first) ++second;
    const double first_score = TargetScore(*eligible[first], context, now);
    const double second_score = TargetScore(*eligible[second], context, now);
    if (context.home && TargetScore(*context.home, context, now) - kHomeScoreAdvantage <=
                            std::min(first_score, second_score)) {
      return context.home;
    }
    return first_score <= second_score ? eligible[first] : eligible[second];
  };
}

PickHook BestPick() {
  return [](const Candidates& eligible, const PickContext& context, std::mt19937_64&,
            TimePoint now) -> std::shared_ptr<TargetState> {
    std::shared_ptr<TargetState> best;
    double best_score = 0;
    for (const auto& candidate : eligible) {
      const double score = TargetScore(*candidate, context, now);
      if (best && score >= best_score) continue;
      best = candidate;
      best_score = score;
    }
    return best;
  };
}

PickHook RandomPick() {
  return [](const Candidates& eligible, const PickContext&, std::mt19937_64& random,
            TimePoint) -> std::shared_ptr<TargetState> {
    return eligible.empty() ? nullptr : eligible[RandomIndex(eligible.size(), random)];
  };
}

PickHook RoundRobinPick() {
  return [next = std::size_t{0}](const Candidates& eligible, const PickContext&, std::mt19937_64&,
                                 TimePoint) mutable -> std::shared_ptr<TargetState> {
    return eligible.empty() ? nullptr : eligible[next++ % eligible.size()];
  };
}

PickHook LeastInFlightPick() {
  return [](const Candidates& eligible, const PickContext&, std::mt19937_64&,
            TimePoint) -> std::shared_ptr<TargetState> {
    const auto least = std::min_element(
        eligible.begin(), eligible.end(),
        [](const auto& a, const auto& b) { return a->InFlight() < b->InFlight(); });
    return least == eligible.end() ? nullptr : *least;
  };
}

}  // namespace anvilcroft
