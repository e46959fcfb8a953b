#ifndef ANVILCROFT_SAMPLE_DELIVERY_H_
#define ANVILCROFT_SAMPLE_DELIVERY_H_

// Delivers samples to a trainer, each sample exactly once.
//
//   SampleDelivery delivery(store, objects, holds_lease, notify_shard, metrics);
//   Result<nlohmann::json> response = delivery.Run(task, request, deadline);
//
// One transaction checks the versions of the trainer's row, the step's row and each `ready` row,
// deletes the `ready` rows, sets the `samples` rows to taken and writes the row
// takes/<trainer>/<take_id>. A request that repeats a take_id gets the samples of that row.
// Samples that exceed the staleness bound are first set to regenerate, together with the markers
// of their groups, in a separate transaction. Both transactions are sent only while the instance
// holds its lease.
//
// If no sample is ready, the take waits up to kEmptyWait and is then recorded as empty. Without
// that record, a delayed copy of the request could take samples under a take_id that the trainer
// no longer asks for.

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/object_client.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/store_access.h"
#include "anvilcroft/take_record.h"
#include "anvilcroft/trainer_record.h"

namespace anvilcroft {

class SampleDelivery {
 public:
  // Maximum wait for samples when none is ready, and the interval between checks.
  static constexpr Duration kEmptyWait = seconds(2);
  static constexpr Duration kEmptyPoll = milliseconds(100);
  // Maximum number of stale samples that one transaction marks for regeneration. Each sample takes
  // up to three writes of the 200 that a transaction may have.
  static constexpr std::size_t kMaxRegeneratedSamples = 60;

  struct Request {
    std::string trainer;
    std::string take_id;
    int64_t step = 0;
    int64_t weight_version = 0;
    std::size_t max = TakeRecord::kMaxSamples;

    // Decodes the body of POST /v1/trainers/{t}/takes.
    static Result<Request> Decode(const std::string& trainer, const nlohmann::json& body);
  };

  // `notify_shard` is called for each shard with samples that were marked for regeneration.
  SampleDelivery(StoreAccess store, ObjectClient& objects,
                 std::function<bool(TimePoint)> holds_lease,
                 std::function<void(int shard)> notify_shard, Metrics& metrics);

  // Delivers up to `request.max` samples and returns them with their outputs. Errors: kNotFound
  // (trainer or step), kConflict (the trainer's row has another weight_version), kNoLease,
  // kStoreUnavailable.
  Result<nlohmann::json> Run(Task& task, const Request& request, TimePoint deadline);

 private:
  // The rows from which a take selects its samples.
  struct Candidates;

  Result<TakeRecord> Commit(Task& task, const Request& request, TimePoint deadline);
  Result<Candidates> ReadCandidates(Task& task, const Request& request, TimePoint deadline);
  // Polls until the step has a ready sample, a read fails, or `until` is reached.
  void WaitForReady(Task& task, const Request& request, TimePoint until);
  // Sets stale samples to regenerate, in one transaction of up to kMaxRegeneratedSamples. A
  // conflict is not an error: the caller reads the rows again.
  Result<void> MarkForRegeneration(Task& task, const Request& request, const Candidates& candidates,
                                   TimePoint deadline);
  // Reads outputs from the object store where needed. An error has ran = yes, since the take is
  // recorded.
  Result<nlohmann::json> BuildResponse(Task& task, const TakeRecord& record, TimePoint deadline);

  StoreAccess store;
  ObjectClient& objects;
  std::function<bool(TimePoint)> holds_lease;
  std::function<void(int)> notify_shard;
  Metrics& metrics;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SAMPLE_DELIVERY_H_
