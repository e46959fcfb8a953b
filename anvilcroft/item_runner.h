#ifndef ANVILCROFT_ITEM_RUNNER_H_
#define ANVILCROFT_ITEM_RUNNER_H_

// Runs items of batch jobs. One task generates the text of an item on one engine, has it scored and
// appends the result to the job's unlisted results. An interrupted run leaves the text generated so
// far, which another engine continues.

#include <memory>
#include <string>

#include "anvilcroft/batch_context.h"

namespace anvilcroft {

class ItemRunner {
 public:
  // A run fails if the engine sends no event for this long, or longer on an engine with slow
  // events. Events usually follow each other within about 40 ms, and within 150 ms in a slow phase.
  static constexpr Duration kMaxSilence = milliseconds(700);

  explicit ItemRunner(BatchContext& context) : context(context) {}

  // Starts a run of item `index` on `engine`, which refuses it unless it has `version` of the job's
  // model.
  void Start(const std::shared_ptr<OwnedJob>& job, std::size_t index, const std::string& engine,
             int64_t version);

  // Starts to score an item whose text is complete.
  void StartScoring(const std::shared_ptr<OwnedJob>& job, std::size_t index);

  // Drops the text of an item, which starts anew.
  void DropText(OwnedItem& item, const char* reason);

  // Drops the text of an item, which is not running, if its job or route does not allow the weight
  // versions. Returns whether it did.
  bool DropForbiddenText(const OwnedJob& job, OwnedItem& item);

  // Gives up on an item and lists it as expired.
  void Expire(const std::shared_ptr<OwnedJob>& job, std::size_t index, const char* reason);

 private:
  // Whether requests for the job may be sent now: it has not been removed, the lease is valid and
  // the state of the jobs is recent enough.
  bool MaySend(const OwnedJob& job) const;
  // Priority in an engine's queue: that of the job's customer or route.
  int Urgency(const OwnedJob& job) const;
  // Time without an event after which a run on `engine` fails.
  Duration MaxSilence(const std::string& engine) const;
  // Waits for the permit to send a run of `item` to `engine`.
  Result<SendPermit> AcquirePermit(Task& task, OwnedItem& item, const TargetEntry& engine);
  void Run(Task& task, const std::shared_ptr<OwnedJob>& job, std::size_t index,
           const TargetEntry& engine, int64_t version);
  void Score(Task& task, const std::shared_ptr<OwnedJob>& job, std::size_t index);
  void Finish(const std::shared_ptr<OwnedJob>& job, std::size_t index, ItemResult result);
  // Delays or redirects the next run of an item after a run that did not complete.
  void HandleIncompleteRun(OwnedItem& item, const std::string& engine,
                           const platform::GenerationOutcome& outcome, TimePoint now);

  BatchContext& context;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ITEM_RUNNER_H_
