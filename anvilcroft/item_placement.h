#ifndef ANVILCROFT_ITEM_PLACEMENT_H_
#define ANVILCROFT_ITEM_PLACEMENT_H_

// Decides which waiting items of batch jobs start now, and on which model engine.
//
// Load pattern: a training step arrives at once with more items than there are free slots; the
// trainer waits for most of its groups, so the step takes as long as the longest of those. Items
// that must be part of the step come first, then the longest, then groups that the trainer can do
// without. Each item goes to the engine on which it is expected to end first.
//
// An engine slows down over its last slots: at most kUsableShareWithLongItem of them are used while
// it runs a long item, because the step waits for that one and not for those beside it. A long item
// takes any free slot.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilcroft {

enum class ItemRank {
  kRequired,  // the trainer waits for the item's group whatever else is complete
  kNormal,
  kDispensable,  // of a group that the trainer can probably do without
};

// An item that is expected to go on for this many events, or has done so, is long: twice the usual
// number.
constexpr double kLongItemEvents = 40;
// Slots that are used beside a long item. On engines of 6 and of 8 slots an event takes 25% longer
// with all slots in use than with one; two thirds of that come with the last quarter.
constexpr double kUsableShareWithLongItem = 0.75;

struct WaitingItem {
  std::size_t key = 0;  // chosen by the caller
  std::string service;
  std::string model;
  int64_t min_version = 0;
  int64_t only_version = 0;  // the text so far has this version and may have no other; 0: any
  ItemRank rank = ItemRank::kNormal;
  double events_left = 0;  // expected
  // The text may be needed in a later step, which allows newer versions only.
  bool prefer_newest = false;
  std::set<std::string> avoid;  // engines that failed the item lately
};

struct PlacementEngine {
  std::string id;
  std::string service;
  int slots = 1;
  int running = 0;
  int long_items = 0;                       // of those that run
  double event_ms = 30;                     // time of one event when the engine is empty
  double failure_share = 0;                 // of its next request, 0 to 1
  std::map<std::string, int64_t> versions;  // by model
  std::set<std::string> loading;            // models that it takes no work for
};

struct Placement {
  std::size_t key = 0;
  std::string engine;
  int64_t version = 0;  // that the engine is believed to have
};

// At most one placement for each item and `slots` running items on each engine.
std::vector<Placement> PlaceItems(std::vector<WaitingItem> items,
                                  std::vector<PlacementEngine> engines);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ITEM_PLACEMENT_H_
