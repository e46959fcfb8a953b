#include "anvilcroft/route_chooser.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "anvilcroft/target_choice.h"

namespace anvilcroft {
namespace {

// Assumed latency of a target without a recently measured one.
constexpr Duration kDefaultLatency = milliseconds(30);
// Lower bound of the failure cost, for routes with a shorter target latency.
constexpr Duration kMinFailureCost = milliseconds(100);

}  // namespace

double RouteChooser::NextRandom() {
  return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

const PoolTarget* RouteChooser::Choose(const ServiceRoute& route,
                                       const std::set<std::string>& tried, TimePoint now) {
  std::vector<std::pair<double, std::vector<const PoolTarget*>>> options;
  double total = 0;
  for (const auto& [service, weight] : route.split) {
    auto candidates = this->pool.AcceptingTargets(service);
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [&tried](const PoolTarget* target) {
                                      return tried.count(target->entry.id) != 0;
                                    }),
                     candidates.end());
    if (candidates.empty() || weight <= 0) continue;
    total += weight;
    options.emplace_back(weight, std::move(candidates));
  }
  if (options.empty()) return nullptr;
  double draw = this->NextRandom() * total;
  std::size_t pick = 0;
  while (pick + 1 < options.size() && draw >= options[pick].first) draw -= options[pick++].first;
  ChoiceContext context;
  context.zone = this->zone;
  context.default_latency = kDefaultLatency;
  context.failure_cost = std::max<Duration>(route.target_latency, kMinFailureCost);
  context.random = this->NextRandom();
  return ChooseTarget(options[pick].second, context, now);
}

}  // namespace anvilcroft
