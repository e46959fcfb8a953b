#ifndef ANVILCROFT_SAMPLE_STORE_H_
#define ANVILCROFT_SAMPLE_STORE_H_

// The rows of trainers, steps, groups and samples, and the transactions on them (all but the take,
// see take.h).
//
// Rows: trainers/<trainer>; steps/<trainer>/<step> (StepRecord) and steps/<trainer>/<step>/<group>
// (GroupRecord, written once); groups/<shard>/<trainer>/<step>/<group>, a marker that exists while
// samples of the group are to be produced; samples/... (SampleRecord); ready/... (ReadyRecord).
// A row `ready` exists exactly while its row `samples` has the state ready.
//
// The marker is removed with a check of its version after the rows `samples` were read. A take
// that sets a sample back to regenerate writes the marker in the same transaction, so the removal
// of a marker cannot lose a sample.
//
// Each function retries until its deadline and settles lost answers by reading the rows back.

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
  // Most markers read of one shard; the rest follows when these groups are done.
  static constexpr std::size_t kMaxMarkers = 1000;

  struct Marker {
    GroupId id;
    RowVersion version = 0;
  };
  // A sample that is to be produced: its index, the version of its row and the earlier attempts.
  struct Missing {
    int64_t index = 0;
    RowVersion version = 0;  // 0: no row yet
    int64_t attempts = 0;
  };
  enum class Completion {
    kCompleted,   // the sample is ready with this output
    kSuperseded,  // another run completed the sample, or it has moved on since
  };

  explicit SampleStore(StoreAccess store);

  // The trainer's record, or nullopt if it was never put.
  Result<std::optional<TrainerRecord>> ReadTrainer(Task& task, const std::string& trainer,
                                                   TimePoint deadline);

  // Writes the trainer's record. The recorded values again are a success without a write. Errors:
  // kStaleVersion if a higher weight_version is recorded, kStoreUnavailable.
  Result<void> PutTrainer(Task& task, const TrainerRecord& record, TimePoint deadline);

  // Makes all groups of `step` durable. Repeating it is a success; after an error it may have made
  // some of the groups durable, and the same request completes it. Errors: kConflict if the step
  // has other groups, kStoreUnavailable.
  Result<void> SubmitStep(Task& task, const StepRequest& step, TimePoint deadline);

  // The groups of a shard with samples to be produced. A malformed row is logged and left out.
  Result<std::vector<Marker>> ScanShard(Task& task, int shard, TimePoint deadline);

  // What a group asks for. Fails with kNotFound if its row is missing.
  Result<GroupRecord> ReadGroup(Task& task, const GroupId& id, TimePoint deadline);

  // The samples of a group that are neither ready nor taken.
  Result<std::vector<Missing>> ScanMissing(Task& task, const GroupRecord& group,
                                           TimePoint deadline);

  // Makes a sample ready, unless its row has changed since it was found missing.
  Result<Completion> Complete(Task& task, const GroupId& id, const Missing& missing,
                              const ReadyRecord& ready, TimePoint deadline);

  // Removes the marker of a group if it still has `marker.version`. One attempt; returns whether
  // it is known to be removed. Otherwise the shard has to be scanned again.
  bool RemoveMarker(Task& task, const Marker& marker, TimePoint deadline);

 private:
  Result<StepRecord> PutStep(Task& task, const StepRequest& step, TimePoint deadline);
  Result<void> PutGroups(Task& task, const StepRequest& step, TimePoint deadline);

  StoreAccess store;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SAMPLE_STORE_H_
