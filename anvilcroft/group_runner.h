#ifndef ANVILCROFT_GROUP_RUNNER_H_
#define ANVILCROFT_GROUP_RUNNER_H_

// Produces the missing samples of one group: generates each sample, sends it to the judge, and
// records it as ready in its own transaction as soon as it is judged.
//
//   GroupRunner runner(context, marker, [&] { return owns_shard; });
//   bool finished = runner.Run(task);
//
// Samples run concurrently, one task each. A straggler is issued a second time, on another target;
// the first copy to complete wins and the other copy is cancelled. Output without weight versions,
// or whose spans do not cover all of its tokens, is discarded and generated again. So is output
// that exceeds the trainer's staleness bound; engines that were recently observed with a weight
// version older than the trainer allows get no samples of the group.
//
// The missing samples are read from the table, and a completion is conditional on the version of
// the row that was read. Two runners of one group therefore cause redundant work but no duplicate
// samples.

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
  // Runs one request on a target, with admission control.
  using RunHook = std::function<Result<WorkResult>(Task&, const WorkRequest&)>;

  // Time limit of one generation. All samples of a step must be complete within 22 minutes.
  static constexpr Duration kGenerateTimeout = std::chrono::minutes(10);
  static constexpr Duration kJudgeTimeout = seconds(60);
  // Attempts to judge one output before it is generated again. During an outage of the judge,
  // further attempts would only make the output more stale.
  static constexpr int kJudgeAttempts = 8;
  // Backoff after a failure; doubles with each consecutive failure.
  static constexpr Duration kInitialBackoff = milliseconds(200);
  static constexpr Duration kMaxBackoff = seconds(5);
  // Backoff after an error that an early retry would not resolve, such as a request that crashes
  // its targets.
  static constexpr Duration kRefusedBackoff = seconds(30);
  // Interval between checks for stragglers.
  static constexpr Duration kStragglerPoll = milliseconds(250);

  // Dependencies and state shared by all runners of an instance.
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

  // `may_start` returns whether new attempts may start, that is, whether the instance is not
  // stopping and still owns the group's shard.
  GroupRunner(Context& context, SampleStore::Marker marker, std::function<bool()> may_start);

  // Returns true once all samples are ready or taken and the marker is removed, and also if the
  // group's row is missing or malformed. Returns false if `may_start` ended the run first or the
  // marker was not removed; the shard then has to be scanned again. Waits for the tasks of all
  // running samples before it returns.
  bool Run(Task& task);

  // Makes waiting tasks call `may_start` again.
  void RecheckMayStart() { this->changed->NotifyAll(); }

  // Number of running sample tasks. The second copy of a straggler counts separately.
  int64_t RunningSamples() const { return this->tasks; }

 private:
  struct Sample;
  struct SampleAttempt;
  enum class Outcome { kDone, kFailed, kRefused };

  bool RunMissing(Task& task, const std::vector<SampleStore::MissingSample>& missing);
  void StartCopy(const std::shared_ptr<Sample>& sample, std::set<std::string> excluded);
  void RunCopy(Task& task, const std::shared_ptr<Sample>& sample,
               const std::set<std::string>& excluded);
  Outcome RunAttempt(Task& task, const std::shared_ptr<Sample>& sample, SampleAttempt& attempt);
  Result<WorkResult> RunRequest(Task& task, const std::shared_ptr<Sample>& sample,
                                SampleAttempt& attempt, WorkRequest::Builder builder,
                                Duration timeout);
  Result<ReadyRecord> Generate(Task& task, const std::shared_ptr<Sample>& sample,
                               SampleAttempt& attempt);
  Result<double> Judge(Task& task, const std::shared_ptr<Sample>& sample, SampleAttempt& attempt,
                       const std::string& output);
  // Updates `oldest_allowed_version` from the trainer's row; keeps the value if the read fails or
  // there is no row.
  void RefreshOldestAllowedVersion(Task& task);
  void Complete(Task& task, const std::shared_ptr<Sample>& sample, const SampleAttempt& attempt,
                ReadyRecord ready);
  // Once three quarters of the samples are done, starts a second copy of each sample whose attempt
  // has run for more than twice the median duration, within the budget.
  void ReissueStragglers(TimePoint now);
  // Counts and logs a failed attempt, and chooses the backoff before the next one.
  Outcome OnFailure(const Sample& sample, const Error& error);

  Context& context;
  SampleStore::Marker marker;
  std::function<bool()> may_start;
  GroupRecord group;
  // The lowest weight version that the trainer accepted at the last read of its row.
  int64_t oldest_allowed_version = 0;
  std::vector<std::shared_ptr<Sample>> samples;
  std::vector<Duration> durations;  // run times of completed samples
  int64_t tasks = 0;
  std::shared_ptr<Event> changed = std::make_shared<Event>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_GROUP_RUNNER_H_
