#ifndef ANVILCROFT_ITEM_PLACEMENT_H_
#define ANVILCROFT_ITEM_PLACEMENT_H_

// Decides which waiting items of batch jobs start now, and on which model engine.
//
// Load pattern: a training step arrives at once with more items than there are free slots; the
// trainer waits for most of its groups, so the step takes as long as the longest of those. Items
// that must be part of the step come first, then the longest, then groups that the trainer can do
// without. Each item goes to the engine on which it is expected to end first.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilcroft {

enum class ItemRank {
  kRequired,  // the trainer waits for the item's group whatever else is complete
  kUsual,
  kDispensable,  // of a group that the trainer can probably do without
};

struct WaitingItem {
  std::size_t key = 0;  // chosen by the caller
  std::string service;
  std::string model;
  int64_t min_version = 0;
  int64_t only_version = 0;  // the text so far has this version and may have no other; 0: any
  ItemRank rank = ItemRank::kUsual;
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
