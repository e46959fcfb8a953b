#ifndef ANVILCROFT_STRAGGLER_PLAN_H_
#define ANVILCROFT_STRAGGLER_PLAN_H_

// Decides which running items are moved to another engine.
//
// Load pattern: some engines turn several times slower for seconds, and any engine for parts of a
// second; a step waits for its slowest item. A run can go on elsewhere from its last event for the
// price of reading its prompt again, so an item moves when a free engine is expected to end it much
// sooner. When a step arrives, all its items start at once and engines are slow for the time that
// they read the prompts; a run is judged only once it has made events or was silent for long.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "anvilcroft/item_placement.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct RunningItem {
  std::size_t key = 0;  // chosen by the caller
  std::string engine;
  std::string service;
  std::string model;
  int64_t min_version = 0;
  int64_t only_version = 0;                 // 0: any
  double events_left = 0;                   // expected
  int64_t events_here = 0;                  // made by this run
  Duration since_event = Duration::zero();  // since its last event, or its start
  int moves = 0;                            // so far
};

// Most moves of one item.
constexpr int kMaxMoves = 8;

// A run that has made fewer events is not moved for the pace of its engine,
constexpr int64_t kMinEventsBeforeMove = 4;
// unless it has been silent for this long: several times what an engine takes to read the prompts
// of all its slots.
constexpr Duration kLongSilence = milliseconds(350);

// The keys of the items to move, at most one for each free slot of a faster engine.
std::vector<std::size_t> PlanMoves(const std::vector<RunningItem>& items,
                                   std::vector<PlacementEngine> engines);

}  // namespace anvilcroft

#endif  // ANVILCROFT_STRAGGLER_PLAN_H_
