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

RouteChoice RouteChooser::Choose(const ServiceRoute& route, const Usable& usable, bool unlimited,
                                 TimePoint now) {
  ChoiceContext context;
  int unlimited_left = 0;
  std::vector<std::pair<double, std::vector<const PoolTarget*>>> options;
  double total = 0;
  for (const auto& [service, weight] : route.split.Active()) {
    std::vector<const PoolTarget*> candidates;
    for (const PoolTarget* target : this->pool.AcceptingTargets(service, now)) {
      if (!usable(target->entry)) continue;
      const auto wait = this->permit_wait(target->entry, now);
      if (wait && unlimited) continue;
      if (wait) {
        context.permit_waits[target->entry.id] = *wait;
      } else {
        ++unlimited_left;
      }
      candidates.push_back(target);
    }
    if (candidates.empty()) continue;
    total += weight;
    options.emplace_back(weight, std::move(candidates));
  }
  if (options.empty()) return {};
  double draw = this->NextRandom() * total;
  std::size_t pick = 0;
  while (pick + 1 < options.size() && draw >= options[pick].first) draw -= options[pick++].first;
  context.zone = this->zone;
  context.default_latency = kDefaultLatency;
  context.failure_cost = std::max<Duration>(route.target_latency, kMinFailureCost);
  context.random = this->NextRandom();
  RouteChoice choice;
  choice.target = ChooseTarget(options[pick].second, context, now);
  const bool chose_unlimited =
      choice.target != nullptr && context.permit_waits.count(choice.target->entry.id) == 0;
  choice.unlimited_left = unlimited_left > (chose_unlimited ? 1 : 0);
  return choice;
}

std::optional<Duration> RouteChooser::NextPermit(const std::set<std::string>& ids,
                                                 TimePoint now) const {
  std::optional<Duration> next;
  for (const std::string& id : ids) {
    const PoolTarget* target = this->pool.Find(id);
    const auto wait = target == nullptr ? std::nullopt : this->permit_wait(target->entry, now);
    if (wait && (!next || *wait < *next)) next = wait;
  }
  return next;
}

}  // namespace anvilcroft
