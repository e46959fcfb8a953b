#ifndef ANVILCROFT_SAMPLE_STORE_H_
#define ANVILCROFT_SAMPLE_STORE_H_

// Reads and writes the rows of trainers, steps, groups and samples. The transactions that deliver
// samples are in sample_delivery.h.
//
// Rows: trainers/<trainer>; steps/<trainer>/<step> (StepRecord) and steps/<trainer>/<step>/<group>
// (GroupRecord, written once); groups/<shard>/<trainer>/<step>/<group>, a marker that exists while
// samples of the group remain to be produced; samples/... (SampleRecord); ready/... (ReadyRecord).
// A `ready` row exists exactly while its `samples` row has the state ready.
//
// The marker is removed only after the `samples` rows were read, with a check of its version. A
// take that marks a sample for regeneration writes the marker in the same transaction, so the
// removal of a marker cannot lose a sample.
//
// Reads make a single attempt. Unless stated otherwise, writes are retried until the deadline, and
// a lost response is resolved by reading the rows back.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/group_id.h"
#include "anvilcroft/group_record.h"
#include "anvilcroft/ready_record.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/sample_record.h"
#include "anvilcroft/step_record.h"
#include "anvilcroft/step_request.h"
#include "anvilcroft/store_access.h"
#include "anvilcroft/trainer_record.h"

namespace anvilcroft {

class SampleStore {
 public:
  // Maximum number of markers in one scan of a shard; the others are scanned once these groups are
  // complete.
  static constexpr std::size_t kMaxMarkers = 1000;

  struct Marker {
    GroupId id;
    RowVersion version = 0;  // of the marker's row
  };
  // A sample that remains to be produced.
  struct MissingSample {
    int64_t index = 0;
    RowVersion version = 0;  // of the `samples` row; 0 if there is none
    int64_t attempts = 0;    // number of earlier completions
  };
  enum class Completion {
    kCompleted,   // the sample is ready with this output
    kSuperseded,  // the row has changed since it was scanned
  };

  explicit SampleStore(StoreAccess store);

  // Returns the trainer's record, or nullopt if there is none.
  Result<std::optional<TrainerRecord>> ReadTrainer(Task& task, const std::string& trainer,
                                                   TimePoint deadline);

  // Writes the trainer's record. Succeeds without a write if the same record exists. Errors:
  // kStaleVersion if a higher weight_version is recorded, kStoreUnavailable.
  Result<void> PutTrainer(Task& task, const TrainerRecord& record, TimePoint deadline);

  // Writes `step` and all of its groups. Idempotent. After an error, some of the groups may have
  // been written, and a retry of the same request writes the others. Errors: kConflict if the step
  // was submitted with different groups, kStoreUnavailable.
  Result<void> SubmitStep(Task& task, const StepRequest& step, TimePoint deadline);

  // Returns the markers of a shard. Malformed rows are logged and skipped.
  Result<std::vector<Marker>> ScanShard(Task& task, int shard, TimePoint deadline);

  // Returns the definition of a group. Fails with kNotFound if it has no row, and with kInternal if
  // the row is malformed.
  Result<GroupRecord> ReadGroup(Task& task, const GroupId& id, TimePoint deadline);

  // Returns the samples of a group that are neither ready nor taken.
  Result<std::vector<MissingSample>> ScanMissing(Task& task, const GroupRecord& group,
                                                 TimePoint deadline);

  // Records a sample as ready with its output, unless its row has changed since the scan that
  // returned `missing`.
  Result<Completion> Complete(Task& task, const GroupId& id, const MissingSample& missing,
                              const ReadyRecord& ready, TimePoint deadline);

  // Removes the marker of a group if it still has `marker.version`. Makes a single attempt. Returns
  // true only if the removal is confirmed; otherwise the shard has to be scanned again.
  bool RemoveMarker(Task& task, const Marker& marker, TimePoint deadline);

 private:
  Result<StepRecord> PutStep(Task& task, const StepRequest& step, TimePoint deadline);
  // Writes the groups of `step` that have no row, in as many transactions as needed.
  Result<void> PutGroups(Task& task, const StepRequest& step, TimePoint deadline);

  StoreAccess store;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SAMPLE_STORE_H_
