#ifndef ANVILCROFT_ITEM_PLACEMENT_H_
#define ANVILCROFT_ITEM_PLACEMENT_H_

// Decides which waiting items of batch jobs start now, and on which model engine.
//
// Load pattern: a training step submits all its items at once, more than there are free slots. The
// trainer waits for most of the groups, so the slowest of those determines how long the step takes.
// The items of groups that the trainer can do without are placed last, and before them those of
// steps that are deferred (sharing/step_order.h). Among the others, items of more urgent routes are
// placed first, then those that must be part of the step, then the longest.
// Each item is placed on the engine on which it is expected to finish first; an engine that can't
// continue its text has all of it to generate.
//
// Where a route divides its requests among several services, an item without a text goes to the
// service whose share of the route's running items is furthest below its weight, among those with a
// usable engine. A service without one holds no item back: the others take its share.
//
// An engine slows down when its last slots are filled. While it runs a long item, short items may
// fill at most kUsableShareWithLongItem of its slots, because the step waits for the long item and
// not for the short ones. A long item may use any free slot.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/engine_pace.h"
#include "anvilcroft/traffic_split.h"

namespace anvilcroft {

enum class ItemRank {
  kRequired,  // the trainer waits for the item's group even if enough other groups are complete
  kNormal,
  kDispensable,  // the trainer can probably do without the item's group
};

// An item is long if it is expected to produce at least this many more events; a running one also
// if it has produced as many already. Twice the usual number of events.
constexpr double kLongItemEvents = 40;
// Share of an engine's slots that short items may fill while it runs a long item. On engines of 6
// and of 8 slots an event takes 25% longer with all slots in use than with one; two thirds of that
// slowdown come with the last quarter of the slots.
constexpr double kUsableShareWithLongItem = 0.75;

// A route whose items wait.
struct PlacementRoute {
  TrafficSplit split;
  std::map<std::string, int> running;  // items of the route that run, by service
};

struct WaitingItem {
  std::size_t key = 0;    // chosen by the caller; identifies the item in its Placement
  std::size_t route = 0;  // index of its route
  std::string model;
  int64_t min_version = 0;
  // The only version that may continue the text, which must be of one version; 0: any version.
  int64_t only_version = 0;
  // Engines with another version than `only_version` may start the text anew (text_restart.h).
  bool may_restart = false;
  // Version of the software that generated the text so far. An engine with another one starts the
  // text anew. Only with `events_done`.
  std::string software;
  double events_done = 0;  // events of the text so far
  int priority = 0;        // of the customer or route; 0 is the most urgent
  ItemRank rank = ItemRank::kNormal;
  bool deferred = false;   // its step cannot be in time together with the others
  double events_left = 0;  // expected number of events still to be generated
  // A later step may need the text, and accepts newer versions only.
  bool prefer_newest = false;
  std::set<std::string> avoid;  // engines on which the item failed recently
};

struct PlacementEngine {
  std::string id;
  std::string service;
  std::string software;  // version
  int slots = 1;
  int running = 0;
  int long_items = 0;  // number of running items that are long
  PaceForecast pace{30, 0, 0};
  Duration permit_wait = Duration::zero();  // until the engine takes the next request
  double failure_share = 0;                 // probability that its next request fails, 0 to 1
  std::map<std::string, int64_t> versions;  // by model
  std::set<std::string> loading;            // models that accept no items during their load
};

struct Placement {
  std::size_t key = 0;
  std::string engine;
  int64_t version = 0;  // weight version that the engine is expected to have loaded
  bool anew = false;    // the engine can't continue the text and starts it anew
};

struct PlacementPlan {
  std::vector<Placement> placements;
  // Keys of the items for which only engines without their `only_version` have a free slot.
  std::vector<std::size_t> held;
};

// An engine that is more likely to fail gets requests only if the others can't take them.
constexpr double kMaxFailureShare = 0.3;

// Makes at most one placement for each item. The placements never exceed the free slots of an
// engine. Items without a usable engine are left out. `routes`: the routes of all items.
PlacementPlan PlaceItems(std::vector<WaitingItem> items, std::vector<PlacementEngine> engines,
                         const std::vector<PlacementRoute>& routes);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ITEM_PLACEMENT_H_
