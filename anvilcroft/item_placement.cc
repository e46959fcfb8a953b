#include "anvilcroft/item_placement.h"

#include <algorithm>
#include <tuple>

namespace anvilcroft {
namespace {

// Time lost when a run fails and is restarted on another engine, in ms.
constexpr double kFailureCostMs = 1500;
// Added cost of a text that the next step cannot use, as a share of the time for the text.
constexpr double kOldVersionPenalty = 0.3;
// Added cost of an engine on which the item failed recently, so that the engine is used only if all
// others are much slower.
constexpr double kAvoidCostMs = 1000;

// Whether `engine` can't continue the text of `item`.
bool StartsAnew(const WaitingItem& item, const PlacementEngine& engine) {
  return item.events_done > 0 && item.software != engine.software;
}

// Expected time for `item` on `engine`, in ms, with the penalties above. `newest`: newest version
// of the item's model on any engine.
double CostMs(const WaitingItem& item, const PlacementEngine& engine, int64_t version,
              int64_t newest) {
  const double load = static_cast<double>(engine.running) / engine.slots;
  const double events = item.events_left + (StartsAnew(item, engine) ? item.events_done : 0);
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

}  // namespace

std::vector<Placement> PlaceItems(std::vector<WaitingItem> items,
                                  std::vector<PlacementEngine> engines) {
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
  std::vector<Placement> placements;
  for (const WaitingItem& item : items) {
    if (free_slots == 0) break;
    PlacementEngine* best = nullptr;
    double best_cost = 0;
    int64_t best_version = 0;
    for (PlacementEngine& engine : engines) {
      if (engine.running >= SlotsFor(item, engine) || engine.service != item.service) continue;
      if (engine.loading.count(item.model) != 0) continue;
      const auto found = engine.versions.find(item.model);
      const int64_t version = found == engine.versions.end() ? 0 : found->second;
      if (!item.model.empty() && found == engine.versions.end()) continue;
      if (version < item.min_version) continue;
      if (item.only_version != 0 && version != item.only_version && !StartsAnew(item, engine)) {
        continue;
      }
      const double cost = CostMs(item, engine, version, newest[item.model]);
      if (best == nullptr || cost < best_cost) {
        best = &engine;
        best_cost = cost;
        best_version = version;
      }
    }
    if (best == nullptr) continue;
    ++best->running;
    if (item.events_left >= kLongItemEvents) ++best->long_items;
    --free_slots;
    placements.push_back(Placement{item.key, best->id, best_version, StartsAnew(item, *best)});
  }
  return placements;
}

}  // namespace anvilcroft
