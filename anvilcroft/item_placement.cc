#include "anvilcroft/item_placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace anvilcroft {
namespace {

// Time lost when a run fails and is restarted on another engine, in ms.
constexpr double kFailureCostMs = 1500;
// Added cost of a text that the next step cannot use, as a share of the time for the text.
constexpr double kOldVersionPenalty = 0.3;
// Added cost of an engine on which the item failed recently, so that the engine is used only if all
// others are much slower.
constexpr double kAvoidCostMs = 1000;

// Whether the text of `item` must not go on under `version`.
bool NeedsOtherVersion(const WaitingItem& item, int64_t version) {
  return item.only_version != 0 && version != item.only_version;
}

// Whether `engine`, which has `version` of the item's model, can't continue the text of `item`.
bool StartsAnew(const WaitingItem& item, const PlacementEngine& engine, int64_t version) {
  return item.events_done > 0 &&
         (item.software != engine.software || NeedsOtherVersion(item, version));
}

// Expected time for `item` on `engine`, in ms, with the penalties above. `newest`: newest version
// of the item's model on any engine.
double CostMs(const WaitingItem& item, const PlacementEngine& engine, int64_t version,
              int64_t newest) {
  const double load = static_cast<double>(engine.running) / engine.slots;
  const double events =
      item.events_left + (StartsAnew(item, engine, version) ? item.events_done : 0);
  double cost = TimeForEventsMs(engine.pace, std::max(1.0, events), load);
  if (item.prefer_newest && version < newest) cost *= 1 + kOldVersionPenalty;
  cost += engine.failure_share * kFailureCostMs;
  cost += std::chrono::duration<double, std::milli>(engine.permit_wait).count();
  if (item.avoid.count(engine.id) != 0) cost += kAvoidCostMs;
  return cost;
}

// Number of slots of `engine` that may be in use after `item` has started.
int SlotsFor(const WaitingItem& item, const PlacementEngine& engine) {
  if (engine.long_items == 0 || item.events_left >= kLongItemEvents) return engine.slots;
  return std::max(1, static_cast<int>(engine.slots * kUsableShareWithLongItem));
}

// The engines of one service that gets requests of a route.
struct ServiceOption {
  double weight = 1;
  int running = 0;  // items of the route
  std::vector<PlacementEngine*> engines;
};

// The best engine for an item, among those of one service or of all.
struct Candidate {
  PlacementEngine* engine = nullptr;
  ServiceOption* service = nullptr;
  double cost_ms = 0;
  int64_t version = 0;

  // Whether the engine can be expected to serve the item without delay.
  bool Sound(const WaitingItem& item) const {
    return item.avoid.count(this->engine->id) == 0 && this->engine->permit_wait <= Duration(0) &&
           this->engine->failure_share <= kMaxFailureShare;
  }
  // Running items per weight once the item has started.
  double LoadByWeight() const { return (this->service->running + 1) / this->service->weight; }
};

std::vector<std::vector<ServiceOption>> FindOptions(const std::vector<PlacementRoute>& routes,
                                                    std::vector<PlacementEngine>& engines) {
  std::map<std::string, std::vector<PlacementEngine*>> by_service;
  for (PlacementEngine& engine : engines) by_service[engine.service].push_back(&engine);
  std::vector<std::vector<ServiceOption>> options;
  for (const PlacementRoute& route : routes) {
    std::vector<ServiceOption>& services = options.emplace_back();
    for (const ServiceShare& share : route.split.Active()) {
      const auto found = by_service.find(share.service);
      if (found == by_service.end()) continue;
      const auto running = route.running.find(share.service);
      services.push_back(
          {share.weight, running == route.running.end() ? 0 : running->second, found->second});
    }
  }
  return options;
}

// The engine of `service` on which `item` is expected to finish first. Sets `held` if an engine
// could run it if its text were started anew.
Candidate FindEngine(const WaitingItem& item, ServiceOption& service, int64_t newest, bool& held) {
  Candidate best;
  for (PlacementEngine* engine : service.engines) {
    if (engine->running >= SlotsFor(item, *engine)) continue;
    if (engine->loading.count(item.model) != 0) continue;
    const auto found = engine->versions.find(item.model);
    const int64_t version = found == engine->versions.end() ? 0 : found->second;
    if (!item.model.empty() && found == engine->versions.end()) continue;
    if (version < item.min_version) continue;
    if (NeedsOtherVersion(item, version) && item.software == engine->software &&
        !item.may_restart) {
      held = true;
      continue;
    }
    const double cost = CostMs(item, *engine, version, newest);
    if (best.engine == nullptr || cost < best.cost_ms) best = {engine, &service, cost, version};
  }
  return best;
}

// Whether `a` is the better choice for `item`. The weights decide between services for an item
// without a text; one with a text goes where it is finished first.
bool Better(const WaitingItem& item, const Candidate& a, const Candidate& b) {
  if (item.events_done > 0) return a.cost_ms < b.cost_ms;
  const bool a_sound = a.Sound(item);
  const bool b_sound = b.Sound(item);
  if (a_sound != b_sound) return a_sound;
  if (!a_sound) return a.cost_ms < b.cost_ms;
  return std::make_pair(a.LoadByWeight(), a.cost_ms) < std::make_pair(b.LoadByWeight(), b.cost_ms);
}

}  // namespace

PlacementPlan PlaceItems(std::vector<WaitingItem> items, std::vector<PlacementEngine> engines,
                         const std::vector<PlacementRoute>& routes) {
  std::stable_sort(items.begin(), items.end(), [](const WaitingItem& a, const WaitingItem& b) {
    return std::make_tuple(a.rank == ItemRank::kDispensable, a.deferred, a.priority, a.rank,
                           -a.events_left) < std::make_tuple(b.rank == ItemRank::kDispensable,
                                                             b.deferred, b.priority, b.rank,
                                                             -b.events_left);
  });
  std::map<std::string, int64_t> newest;
  for (const PlacementEngine& engine : engines) {
    for (const auto& [model, version] : engine.versions) {
      newest[model] = std::max(newest[model], version);
    }
  }
  int free_slots = 0;
  for (const PlacementEngine& engine : engines) {
    free_slots += std::max(0, engine.slots - engine.running);
  }
  std::vector<std::vector<ServiceOption>> options = FindOptions(routes, engines);
  PlacementPlan plan;
  for (const WaitingItem& item : items) {
    if (free_slots == 0) break;
    Candidate best;
    bool held = false;
    for (ServiceOption& service : options[item.route]) {
      const Candidate candidate = FindEngine(item, service, newest[item.model], held);
      if (candidate.engine == nullptr) continue;
      if (best.engine == nullptr || Better(item, candidate, best)) best = candidate;
    }
    if (best.engine == nullptr) {
      if (held) plan.held.push_back(item.key);
      continue;
    }
    ++best.engine->running;
    ++best.service->running;
    if (item.events_left >= kLongItemEvents) ++best.engine->long_items;
    --free_slots;
    plan.placements.push_back(Placement{item.key, best.engine->id, best.version,
                                        StartsAnew(item, *best.engine, best.version)});
  }
  return plan;
}

}  // namespace anvilcroft
