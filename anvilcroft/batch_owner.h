#ifndef ANVILCROFT_BATCH_OWNER_H_
#define ANVILCROFT_BATCH_OWNER_H_

// The duty of the instance that holds the lease: it runs the items of all open batch jobs and
// orders the weight versions that they need. Without the lease it does nothing.

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/batch_context.h"
#include "anvilcroft/carried_texts.h"
#include "anvilcroft/item_placement.h"
#include "anvilcroft/item_runner.h"
#include "anvilcroft/result_lister.h"
#include "anvilcroft/weight_control.h"

namespace anvilcroft {

class BatchOwner {
 public:
  explicit BatchOwner(BatchContext& context);

  void Start();

  // Stops all runs and saves what they have generated, for the next owner. Call before the lease
  // is released.
  void HandOver(Task& task, TimePoint deadline);

 private:
  // Follows the jobs in the metadata store while the lease is held.
  void WatchJobs(Task& task);
  bool LoadOpenJobs(Task& task, int64_t& version);
  void ApplyHead(const BatchHead& head);
  void LoadJob(Task& task, const BatchHead& head);
  void EndJob(const std::string& id);
  void DropAllJobs();

  // Saves texts that have grown by `least_events` since they were last saved.
  void SaveTexts(Task& task, int64_t least_events, TimePoint deadline);
  void SaveTextsPeriodically(Task& task);

  // Plans and starts work.
  void RunPlanner(Task& task);
  void Plan(TimePoint now);
  void ExpireItems();
  void PlaceWaitingItems(TimePoint now);
  void MoveStragglers(TimePoint now);
  std::vector<PlacementEngine> DescribeEngines(TimePoint now);

  BatchContext& context;
  ItemRunner runner;
  ResultLister lister;
  WeightControl weights;
  CarriedTexts carried;
  bool handing_over = false;
  std::set<std::string> loading;  // jobs whose items are being read
  std::set<std::string> ended;    // jobs that ended while their items were being read
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_OWNER_H_
