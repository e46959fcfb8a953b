#ifndef ANVILCROFT_GROUP_RUNNER_H_
#define ANVILCROFT_GROUP_RUNNER_H_

// Produces the missing samples of one group: generates each, has it judged, and completes it in a
// transaction of its own as soon as it is judged.
//
//   GroupRunner runner(context, marker, [&] { return owns_shard; });
//   bool finished = runner.Run(task);
//
// Samples run at once, one task each. A straggler is issued once more, on another target; the
// first completion wins and the other copy is cancelled. Output without weight versions, or whose
// versions do not account for all of its tokens, is not completed but generated again. So is a
// sample that the trainer would find too stale; engines that are known to give such output get no
// samples of the group.
//
// Which samples are missing comes from the rows, and completion is conditional on the row found,
// so two runners of one group cost redundant work but never a duplicate.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/engine_versions.h"
#include "anvilcroft/error.h"
#include "anvilcroft/event.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/object_client.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/sample_store.h"
#include "anvilcroft/straggler_budget.h"
#include "anvilcroft/tracer.h"
#include "anvilcroft/work_request.h"
#include "anvilcroft/work_result.h"

namespace anvilcroft {

class GroupRunner {
 public:
  using RunHook = std::function<Result<WorkResult>(Task&, const WorkRequest&)>;

  // Longest time for one generation. All samples of a step have to be done within 22 minutes.
  static constexpr Duration kGenerateTimeout = std::chrono::minutes(10);
  static constexpr Duration kJudgeTimeout = seconds(60);
  // Attempts at judging one output before it is generated again: in an outage of the judge the
  // output would only grow stale.
  static constexpr int kJudgeAttempts = 8;
  // Wait after a failure; doubles with each failure in a row.
  static constexpr Duration kFirstBackoff = milliseconds(200);
  static constexpr Duration kLongestBackoff = seconds(5);
  // Wait after a refusal that a retry will not change soon, such as a request that crashes its
  // targets.
  static constexpr Duration kRefusedBackoff = seconds(30);
  // Time between two looks for stragglers.
  static constexpr Duration kStragglerPoll = milliseconds(250);

  // What all runners of an instance share.
  struct Context {
    Runtime& runtime;
    SampleStore& store;
    ObjectClient& objects;
    Tracer& tracer;
    Metrics& metrics;
    RunHook run;
    std::string self;  // id of this instance
    std::mt19937_64 random;
    StragglerBudget budget;
    EngineVersions versions;
  };

  // `may_start` says whether new attempts may start: the instance is not stopping and still owns
  // the group's shard.
  GroupRunner(Context& context, SampleStore::Marker marker, std::function<bool()> may_start);

  // Returns true once all samples are ready or taken and the marker is removed, and false if it
  // stopped before, or the marker has changed meanwhile. Samples that are running are always
  // completed before it returns.
  bool Run(Task& task);

  // Makes waiting tasks ask `may_start` again.
  void Wake() { this->changed->NotifyAll(); }

  // Number of samples whose tasks are running.
  int64_t Running() const { return this->tasks; }

 private:
  struct Sample;
  struct Copy;
  enum class Outcome { kDone, kFailed, kRefused };

  bool RunMissing(Task& task, const std::vector<SampleStore::Missing>& missing);
  void Issue(const std::shared_ptr<Sample>& sample, std::set<std::string> excluded);
  void RunCopy(Task& task, const std::shared_ptr<Sample>& sample,
               const std::set<std::string>& excluded);
  Outcome Attempt(Task& task, const std::shared_ptr<Sample>& sample, Copy& copy);
  Result<WorkResult> Call(Task& task, const std::shared_ptr<Sample>& sample, Copy& copy,
                          WorkRequest::Builder builder, Duration timeout);
  Result<ReadyRecord> Generate(Task& task, const std::shared_ptr<Sample>& sample, Copy& copy);
  Result<double> Judge(Task& task, const std::shared_ptr<Sample>& sample, Copy& copy,
                       const std::string& output);
  // Reads the trainer's row again; keeps the last answer if there is none.
  void ReadOldestAllowed(Task& task);
  void Complete(Task& task, const std::shared_ptr<Sample>& sample, const Copy& copy,
                ReadyRecord ready);
  void ReissueStragglers(TimePoint now);
  Outcome Rerun(const Sample& sample, const Error& error);

  Context& context;
  SampleStore::Marker marker;
  std::function<bool()> may_start;
  GroupRecord group;
  // The lowest weight version that the trainer accepted when its row was read last.
  int64_t oldest_allowed = 0;
  std::vector<std::shared_ptr<Sample>> samples;
  std::vector<Duration> durations;  // of completed samples
  int64_t tasks = 0;
  std::shared_ptr<Event> changed = std::make_shared<Event>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_GROUP_RUNNER_H_
