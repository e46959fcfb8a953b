#ifndef ANVILCROFT_ITEM_RUNNER_H_
#define ANVILCROFT_ITEM_RUNNER_H_

// Runs items of batch jobs: one task generates the text on one engine, has it judged and hands the
// result to the job. A run that breaks leaves the text so far, from which another engine goes on.

#include <memory>
#include <string>

#include "anvilcroft/batch_context.h"

namespace anvilcroft {

class ItemRunner {
 public:
  // An engine that sends no event for this long is taken for silent. Events follow each other
  // within about 40 ms, and within 150 ms on a slowed engine.
  static constexpr Duration kMaxSilence = milliseconds(700);
  explicit ItemRunner(BatchContext& context) : context(context) {}

  // Starts a run of item `index` on `engine`, believed to have `version` of the job's model.
  void Start(const std::shared_ptr<OwnedJob>& job, std::size_t index, const std::string& engine,
             int64_t version);

  // Judges an item whose text is complete.
  void StartScoring(const std::shared_ptr<OwnedJob>& job, std::size_t index);

  // Gives an item up.
  void Expire(const std::shared_ptr<OwnedJob>& job, std::size_t index, const char* reason);

 private:
  bool MaySend(const OwnedJob& job) const;
  void Run(Task& task, const std::shared_ptr<OwnedJob>& job, std::size_t index,
           const TargetEntry& engine, int64_t version);
  void Score(Task& task, const std::shared_ptr<OwnedJob>& job, std::size_t index);
  void Finish(const std::shared_ptr<OwnedJob>& job, std::size_t index, ItemResult result);
  void HandleIncompleteRun(OwnedItem& item, const std::string& engine,
                           const platform::GenerationOutcome& outcome, TimePoint now);

  BatchContext& context;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ITEM_RUNNER_H_
