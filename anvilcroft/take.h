#ifndef ANVILCROFT_TAKE_H_
#define ANVILCROFT_TAKE_H_

// Delivery of samples to a trainer, each exactly once.
//
//   Take take(store, objects, holds_lease, notify_shard, metrics);
//   Result<Take::Answer> answer = take.Run(task, request, deadline);
//
// One transaction checks the trainer's row, the step's row and the version of each ready row,
// removes the ready rows, sets the rows `samples` to taken and writes the row
// takes/<trainer>/<take_id>. A repeated take_id gets the samples of that row. Samples that are too
// stale are set back to regenerate by a transaction of their own before, with the markers of their
// groups. Both are sent only while the instance holds its lease.
//
// An empty take is recorded too: a delayed copy of its request could otherwise take samples under
// a take_id that the trainer no longer asks for. It waits a little for samples before that.

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

class Take {
 public:
  // Longest wait for samples when none is ready, and the time between two looks.
  static constexpr Duration kEmptyWait = seconds(2);
  static constexpr Duration kEmptyPoll = milliseconds(100);
  // Most stale samples set back by one transaction: three rows each, of 200.
  static constexpr std::size_t kMaxSetBack = 60;

  struct Request {
    std::string trainer;
    std::string take_id;
    int64_t step = 0;
    int64_t weight_version = 0;
    std::size_t max = TakeRecord::kMaxSamples;

    // Decodes the body of POST /v1/trainers/{t}/takes.
    static Result<Request> Decode(const std::string& trainer, const nlohmann::json& body);
  };

  // `notify_shard` is called for each shard that got samples to produce again.
  Take(StoreAccess store, ObjectClient& objects, std::function<bool(TimePoint)> holds_lease,
       std::function<void(int shard)> notify_shard, Metrics& metrics);

  // Delivers up to `request.max` samples, and returns them with their outputs. Errors: kNotFound
  // (trainer or step), kConflict (the trainer's row has another weight_version), kNoLease,
  // kStoreUnavailable.
  Result<nlohmann::json> Run(Task& task, const Request& request, TimePoint deadline);

 private:
  // The rows that decide a take, from one pass of reads.
  struct Candidates;

  Result<TakeRecord> Commit(Task& task, const Request& request, TimePoint deadline);
  Result<Candidates> Read(Task& task, const Request& request, TimePoint deadline);
  // Waits until the step has a ready sample, one read for each look.
  void WaitForReady(Task& task, const Request& request, TimePoint until);
  Result<void> SetBack(Task& task, const Request& request, const Candidates& candidates,
                       TimePoint deadline);
  Result<nlohmann::json> Answer(Task& task, const TakeRecord& record, TimePoint deadline);

  StoreAccess store;
  ObjectClient& objects;
  std::function<bool(TimePoint)> holds_lease;
  std::function<void(int)> notify_shard;
  Metrics& metrics;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TAKE_H_
