#ifndef ANVILCROFT_OWNED_JOB_H_
#define ANVILCROFT_OWNED_JOB_H_

// A batch job as its owner runs it. Soft state: a new owner rebuilds it from the metadata store.

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/batch_store.h"
#include "anvilcroft/cancellation.h"
#include "anvilcroft/event.h"
#include "anvilcroft/item_text.h"

namespace anvilcroft {

enum class ItemPhase {
  kWaiting,  // for an engine
  kRunning,
  kScoring,
  kFinished,  // its result is listed or about to be
};

struct OwnedItem {
  BatchItem item;
  ItemPhase phase = ItemPhase::kWaiting;
  ItemText text;
  bool carried = false;                    // was part of an earlier job
  int failures = 0;                        // answers that the attempt failed
  int64_t saved_events = 0;                // of the text as it was last saved for the next owner
  std::set<std::string> answered_by;       // engines that refused it or said that it failed
  TimePoint not_before;                    // after a refusal
  std::map<std::string, TimePoint> avoid;  // engines that failed it, and until when they count
  std::string engine;                      // that runs it
  TimePoint last_event;                    // of the run, or its start
  int64_t events_before_run = 0;           // of the text when the run began
  int runs = 0;                            // begun by this owner
  TimePoint first_run_at;                  // begin of the first one
  TimePoint text_done_at;                  // when the text was complete
  int moves = 0;                           // runs that were ended for a faster engine
  std::shared_ptr<Cancellation> run;       // ends the run
};

struct OwnedJob {
  BatchHead head;
  std::vector<OwnedItem> items;
  Listing listing;
  std::deque<ItemResult> unlisted_results;  // results that are not listed yet
  Event unlisted_results_changed;
  bool ended = false;
  TimePoint owned_since;

  // Items whose result is not listed.
  std::size_t UnlistedCount() const {
    return this->items.size() - static_cast<std::size_t>(this->listing.count);
  }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_OWNED_JOB_H_
