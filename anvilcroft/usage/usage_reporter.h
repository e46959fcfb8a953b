#ifndef ANVILCROFT_USAGE_USAGE_REPORTER_H_
#define ANVILCROFT_USAGE_USAGE_REPORTER_H_

// Reports the use of each window to the cloud API while this instance holds the owner lease
// (report_plan.h decides what is done when).
//
// The content of a report is written to the store on the condition that there is none, and is sent
// as it was written, by this holder or a successor. After a failed call to the store, all rows are
// read again, because the call may have been executed.

#include <functional>
#include <string>
#include <vector>

#include "anvilcroft/metadata_store.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/owner_lease.h"
#include "anvilcroft/usage/report_plan.h"
#include "platform/cloud_client.h"

namespace anvilcroft {

class UsageReporter {
 public:
  static constexpr Duration kTick = milliseconds(100);
  static constexpr Duration kCallTimeout = milliseconds(1000);
  static constexpr Duration kRetryPause = milliseconds(200);

  struct Config {
    // How long the rows of a window are kept after it was reported.
    Duration keep_sent = ReportPlan::kKeepSent;
    std::string instance;
    Duration window = seconds(5);
    Duration due = seconds(10);
    double calls_per_s = 50;
    WallMillis started_at = 0;                       // of this process
    std::function<HeldLease()> lease;                // the owner lease
    std::function<std::vector<std::string>()> live;  // names of the live instances
  };

  UsageReporter(Runtime& runtime, MetadataStore& store, platform::CloudClient& cloud,
                Metrics& metrics, Config config);

  void Start();

 private:
  void Run(Task& task);
  // Each returns false after a failure, after which the rows have to be read again.
  bool Load(Task& task);
  bool Begin(Task& task);
  bool Fix(Task& task, int64_t window);
  void Send(Task& task, int64_t window, const HeldLease& lease);
  bool Mark(Task& task, int64_t window);
  bool Remove(Task& task, int64_t window);
  bool RemoveCounts(Task& task, int64_t window);

  Result<CommitResult> Commit(Task& task, const RowBatch& batch);
  // Reads all rows of a partition.
  Result<std::vector<StoredRow>> ReadAll(Task& task, const std::string& table,
                                         const std::string& partition);
  bool MaySend(int64_t fencing) const;
  // Records whether the store answered, and returns it.
  bool Noted(bool answered);

  Runtime& runtime;
  MetadataStore& store;
  platform::CloudClient& cloud;
  Metrics& metrics;
  Config config;
  ReportPlan plan;
  int64_t loaded_for = 0;       // fencing token of the lease under which the rows were read
  int64_t refused_fencing = 0;  // the API has seen a higher token than this one
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_USAGE_USAGE_REPORTER_H_
