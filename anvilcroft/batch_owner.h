#ifndef ANVILCROFT_BATCH_OWNER_H_
#define ANVILCROFT_BATCH_OWNER_H_

// Runs the items of all open batch jobs and orders the weight versions that they need, while this
// instance holds the owner lease. Does nothing without the lease.

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/batch_context.h"
#include "anvilcroft/carried_texts.h"
#include "anvilcroft/item_placement.h"
#include "anvilcroft/item_runner.h"
#include "anvilcroft/owner_handover.h"
#include "anvilcroft/result_lister.h"
#include "anvilcroft/sharing/step_tracker.h"
#include "anvilcroft/weight_control.h"

namespace anvilcroft {

class BatchOwner {
 public:
  // A successor loads the jobs within a few seconds, also if the store is slow.
  static constexpr Duration kHandedTextLifetime = seconds(10);

  explicit BatchOwner(BatchContext& context);

  void Start();

  // The texts of all unfinished items.
  JobTexts UnfinishedTexts() const;

  // Takes texts of a former owner, which are used for jobs loaded within kHandedTextLifetime unless
  // the store has longer ones.
  void AddHandedTexts(JobTexts texts, TimePoint now);

  // Cancels all runs and saves their texts for the next owner. Call before the lease is released.
  void HandOver(Task& task, TimePoint deadline);

 private:
  // What a load has read of a job so far. Items and listed results never change, so they are kept
  // when a call fails and the load is tried again.
  struct JobRows {
    BatchStore::ItemsRead items;
    std::set<std::string> listed;  // ids of the items with a listed result
    std::map<std::string, ItemText> texts;
  };
  using ItemKey = std::pair<std::shared_ptr<OwnedJob>, std::size_t>;  // a job and an item's index

  // Applies changes of the jobs in the metadata store while the lease is held.
  void WatchJobs(Task& task);
  // Loads all open jobs and sets `version` to the version of the metadata store from which
  // WatchJobs reads further changes. Returns whether `context.jobs` is complete: the store answered
  // and the jobs were not dropped meanwhile.
  bool LoadOpenJobs(Task& task, int64_t& version);
  void ApplyHead(const BatchHead& head);
  // Reads the rows of a job that is being loaded and starts to run it, unless it is removed
  // meanwhile.
  void LoadJob(Task& task, const std::shared_ptr<OwnedJob>& job);
  // Adds to `rows` what it lacks and claims the job's listing. Returns whether `rows` is complete
  // and the slice plan has not changed; if not, the load is to be tried again.
  bool ReadRows(Task& task, OwnedJob& job, JobRows& rows);
  // Adds the items of the owner's slice to `job`, with the texts that their runs continue.
  void AddItems(OwnedJob& job, JobRows rows, TimePoint now);
  // Takes over the texts of groups that an earlier job left incomplete and marks their items as
  // required. Returns the number of these groups.
  std::size_t TakeOverCarriedGroups(OwnedJob& job);
  void EndJob(const std::string& id);
  // Drops all jobs after a change of the slice plan and saves their texts for the new owners.
  void ChangeSlice(Task& task);
  // Drops all jobs and cancels their runs after the lease has been lost.
  void DropAllJobs();

  // Saves texts that have grown by at least `min_events` since they were last saved.
  void SaveTexts(Task& task, int64_t min_events, TimePoint deadline);
  void SaveTextsPeriodically(Task& task);

  // Calls Plan() periodically and soon after each change of its inputs.
  void RunPlanner(Task& task);
  void Plan(TimePoint now);
  // Gives up waiting items that are too old or have failed too often.
  void ExpireItems();
  // Drops the texts whose versions their routes do not allow any more, after a change of the
  // configuration, and cancels the runs that would go on with them.
  void DropForbiddenTexts();
  void PlaceWaitingItems(TimePoint now);
  // Number of running items of `route`, by the service of their engines.
  std::map<std::string, int> RunningByService(const RouteTable& routes,
                                              const ServiceRoute& route) const;
  // The jobs whose steps are deferred because the engines cannot finish all open steps in time.
  // Only steps of services whose number of engines the platform changes count.
  std::set<std::string> DeferredJobs(const std::vector<PlacementEngine>& engines, TimePoint now);
  // Whether engines without the version of the item's text may start it anew.
  bool MayRestart(const OwnedItem& item, const ServiceRoute& route, const std::string& model,
                  TimePoint now);
  // Records since when the items of a plan are held for the versions of their texts. Keys of the
  // plan are indices in `items_by_key`.
  static void RecordHeldItems(const PlacementPlan& plan, const std::vector<ItemKey>& items_by_key,
                              TimePoint now);
  void MoveStragglers(TimePoint now);
  // The engines that may receive items now.
  std::vector<PlacementEngine> DescribeEngines(TimePoint now);

  BatchContext& context;
  ItemRunner runner;
  ResultLister lister;
  WeightControl weights;
  StepTracker steps;
  std::set<std::string> deferred_jobs;  // by the last plan
  CarriedTexts carried_texts;
  JobTexts handed_texts;
  TimePoint handed_texts_at;
  bool following = false;  // `context.jobs` is complete and follows the changes in the store
  int64_t drops = 0;       // number of calls of DropAllJobs, to notice one during a wait
  bool handing_over = false;
  int64_t generation = 0;  // of the slice plan by which the jobs were loaded
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_OWNER_H_
