#ifndef ANVILCROFT_OWNED_JOB_H_
#define ANVILCROFT_OWNED_JOB_H_

// The state of a batch job on the instance that runs it. It is held in memory only: a new owner
// rebuilds it from the metadata store.

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/batch_store.h"
#include "anvilcroft/cancellation.h"
#include "anvilcroft/event.h"
#include "anvilcroft/item_text.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/target_service.h"

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
  bool carried = false;      // an item of its group was in an earlier job
  int failures = 0;          // engine responses that reported a failure
  int64_t saved_events = 0;  // text.events at the last save for the next owner
  TimePoint not_before;      // earliest start of the next run, after a refusal
  // Since when only engines without the version of its text have had room for it, while the text
  // has not grown; nullopt: it waits for no version.
  std::optional<TimePoint> held_since;
  std::map<std::string, TimePoint> avoid;  // engines to avoid after a failed run, and until when
  std::string engine;                      // the engine that runs it; empty: none
  bool awaiting_permit = false;            // the run has not been sent, because its engine limits
                                           // its requests
  TimePoint last_event;                    // time of the run's last event, or its start
  int64_t events_before_run = 0;           // text.events at the start of the run
  int runs = 0;                            // number of runs that this owner has started
  TimePoint first_run_at;                  // start of the first run
  TimePoint text_done_at;                  // completion of the text
  int moves = 0;                           // runs cancelled in favor of a faster engine
  std::shared_ptr<Cancellation> run;       // cancels the run or the scoring request
};

struct OwnedJob {
  BatchHead head;
  std::vector<OwnedItem> items;  // those of the owner's slice
  int64_t target_groups = 0;     // of these, the complete groups that the trainer waits for; 0: all
  double tokens_per_event = TargetService::kDefaultTokensPerEvent;  // of the engines that run it
  int64_t generation = 0;  // of the slice plan by which the items belong to the owner
  ResultListing listing;
  std::deque<ItemResult> unlisted_results;  // results that are not listed yet
  Event unlisted_results_changed;
  bool removed = false;   // it ended, or its owner dropped all jobs; set by OwnedJobs
  TimePoint owned_since;  // when this owner loaded the job
};

// The route of an item, which is that of its own path; null: none matches.
const ServiceRoute* RouteOf(const RouteTable& routes, const BatchHead& head, const BatchItem& item);

// Whether a result of `item` may have its text: `route` and the job allow the weight versions.
bool TextAllowed(const OwnedItem& item, const BatchHead& head, const ServiceRoute& route);

}  // namespace anvilcroft

#endif  // ANVILCROFT_OWNED_JOB_H_
