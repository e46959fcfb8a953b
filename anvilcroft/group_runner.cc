#include "anvilcroft/group_runner.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "samples";
constexpr Duration kStoreTimeout = seconds(10);
constexpr Duration kStoreRetry = milliseconds(500);

// Decodes the response of an engine. Fails with kInvalidArgument on a 4xx status, and with
// kBadResponse on any other status but 200, a malformed body, or spans that do not give a weight
// version for every token.
Result<ReadyRecord> ReadOutput(const WorkResult& result) {
  if (result.Status() != 200) {
    const bool refused = result.Status() >= 400 && result.Status() < 500;
    return Fail(refused ? ErrorCode::kInvalidArgument : ErrorCode::kBadResponse,
                "the engine responded with status " + std::to_string(result.Status()));
  }
  const auto body = ParseJson(result.Body());
  if (!body) return Fail(ErrorCode::kBadResponse, body.error().message);
  JsonFields fields(*body, "");
  ReadyRecord ready;
  ready.output = fields.StringOr("text", "", ReadyRecord::kMaxOutputBytes);
  const nlohmann::json& tokens = fields.Optional("tokens");
  if (const auto read = fields.Finish(); !read) {
    return Fail(ErrorCode::kBadResponse, read.error().message, read.error().part);
  }
  ready.weight_versions = result.Spans();
  int64_t covered_tokens = 0;
  for (const WeightSpan& span : ready.weight_versions) {
    if (span.version < 0 || span.tokens < 0) {
      return Fail(ErrorCode::kBadResponse, "the version or token count of a span is negative",
                  "spans");
    }
    covered_tokens += span.tokens;
  }
  const bool all_covered =
      !tokens.is_array() || covered_tokens == static_cast<int64_t>(tokens.size());
  if (ready.weight_versions.empty() || !all_covered ||
      ready.weight_versions.size() > ReadyRecord::kMaxSpans) {
    return Fail(ErrorCode::kBadResponse,
                "the spans are missing, too many, or do not cover all tokens", "spans");
  }
  return ready;
}

Duration Median(std::vector<Duration> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

// Progress of one missing sample in this run.
struct GroupRunner::Sample {
  SampleStore::MissingSample missing;
  bool done = false;
  bool reissued = false;
  bool running = false;  // whether the first copy has an attempt in progress
  TimePoint started;     // start of that attempt
  std::string target;    // id of the last target that attempt was sent to
  std::vector<std::shared_ptr<Cancellation>> cancellations;  // of the attempts in progress
};

// One attempt of one of the up to two concurrent copies of a sample.
struct GroupRunner::SampleAttempt {
  bool first_copy = true;  // false for the second copy of a straggler
  std::set<std::string> excluded;
  std::shared_ptr<Cancellation> cancellation;
  TimePoint started;
};

GroupRunner::GroupRunner(Context& context, SampleStore::Marker marker,
                         std::function<bool()> may_start)
    : context(context), marker(std::move(marker)), may_start(std::move(may_start)) {}

bool GroupRunner::Run(Task& task) {
  const std::shared_ptr<Event> event = this->changed;  // outlives the waits of this task
  while (this->may_start()) {
    auto record = this->context.store.ReadGroup(task, this->marker.id, SteadyNow() + kStoreTimeout);
    if (!record && record.error().code != ErrorCode::kStoreUnavailable) {
      LogError(kPart,
               "cannot read the definition of a group; skipping the group until the next scan",
               {{"group", this->marker.id.DefinitionKey()}, {"error", record.error().message}});
      return true;
    }
    if (record) {
      this->group = std::move(*record);
      this->RefreshOldestAllowedVersion(task);
      const auto missing =
          this->context.store.ScanMissing(task, this->group, SteadyNow() + kStoreTimeout);
      if (missing && missing->empty()) {
        return this->context.store.RemoveMarker(task, this->marker, SteadyNow() + kStoreTimeout);
      }
      if (missing) {
        if (!this->RunMissing(task, *missing)) return false;
        continue;
      }
    }
    event->WaitUntil(task, SteadyNow() + kStoreRetry);
  }
  return false;
}

bool GroupRunner::RunMissing(Task& task, const std::vector<SampleStore::MissingSample>& missing) {
  this->samples.clear();
  this->durations.clear();
  for (const SampleStore::MissingSample& item : missing) {
    const auto sample = std::make_shared<Sample>();
    sample->missing = item;
    this->samples.push_back(sample);
    this->context.budget.CountStarted();
    this->StartCopy(sample, {});
  }
  const std::shared_ptr<Event> event = this->changed;  // outlives the waits of this task
  while (this->tasks > 0) {
    event->WaitUntil(task, SteadyNow() + kStragglerPoll);
    this->ReissueStragglers(SteadyNow());
  }
  return std::all_of(this->samples.begin(), this->samples.end(),
                     [](const auto& sample) { return sample->done; });
}

void GroupRunner::ReissueStragglers(TimePoint now) {
  if (this->durations.empty() || !this->may_start()) return;
  const auto done = std::count_if(this->samples.begin(), this->samples.end(),
                                  [](const auto& sample) { return sample->done; });
  if (done * 4 < static_cast<std::ptrdiff_t>(this->samples.size()) * 3) return;
  // A shorter time is within the delays of a busy machine, and a second copy would gain little.
  const Duration limit = std::max<Duration>(2 * Median(this->durations), kStragglerPoll);
  for (const auto& sample : this->samples) {
    if (sample->done || sample->reissued || !sample->running) continue;
    if (now - sample->started <= limit) continue;
    if (!this->context.budget.TryConsume()) return;
    sample->reissued = true;
    this->context.metrics.Increment("anvilcroft_samples_reissued_total", {});
    std::set<std::string> excluded;
    if (!sample->target.empty()) excluded.insert(sample->target);
    this->StartCopy(sample, std::move(excluded));
  }
}

void GroupRunner::StartCopy(const std::shared_ptr<Sample>& sample, std::set<std::string> excluded) {
  ++this->tasks;
  this->context.runtime.Spawn([this, sample, excluded = std::move(excluded)](Task& task) {
    this->RunCopy(task, sample, excluded);
    --this->tasks;
    this->changed->NotifyAll();
  });
}

void GroupRunner::RunCopy(Task& task, const std::shared_ptr<Sample>& sample,
                          const std::set<std::string>& excluded) {
  const std::shared_ptr<Event> event = this->changed;  // outlives the waits of this task
  const bool first_copy = !sample->reissued;
  Duration backoff = kInitialBackoff;
  while (!sample->done && this->may_start()) {
    SampleAttempt attempt;
    attempt.first_copy = first_copy;
    attempt.excluded =
        this->context.versions.EnginesOlderThan(this->oldest_allowed_version, SteadyNow());
    attempt.excluded.insert(excluded.begin(), excluded.end());
    attempt.cancellation = std::make_shared<Cancellation>();
    attempt.started = SteadyNow();
    sample->cancellations.push_back(attempt.cancellation);
    if (first_copy) {
      sample->running = true;
      sample->started = attempt.started;
      sample->target.clear();
    }
    const Outcome outcome = this->RunAttempt(task, sample, attempt);
    if (first_copy) sample->running = false;
    auto& cancellations = sample->cancellations;
    cancellations.erase(
        std::find(cancellations.begin(), cancellations.end(), attempt.cancellation));
    if (outcome == Outcome::kDone) break;
    // Jitter spreads the retries of samples that an overloaded service rejected at the same time.
    const Duration wait = outcome == Outcome::kRefused ? kRefusedBackoff : backoff;
    const double factor = std::uniform_real_distribution<double>(0.5, 1)(this->context.random);
    const TimePoint until = SteadyNow() + std::chrono::duration_cast<Duration>(wait * factor);
    while (!sample->done && this->may_start() && event->WaitUntil(task, until)) {
    }
    backoff = std::min<Duration>(backoff * 2, kMaxBackoff);
  }
}

GroupRunner::Outcome GroupRunner::RunAttempt(Task& task, const std::shared_ptr<Sample>& sample,
                                             SampleAttempt& attempt) {
  auto ready = this->Generate(task, sample, attempt);
  if (sample->done) return Outcome::kDone;
  if (!ready) return this->OnFailure(*sample, ready.error());
  const Error stale{ErrorCode::kStaleVersion, "the sample exceeds the staleness bound", "",
                    Ran::kYes};
  if (ready->MinVersion() < this->oldest_allowed_version) return this->OnFailure(*sample, stale);
  const auto reward = this->Judge(task, sample, attempt, ready->output);
  if (sample->done) return Outcome::kDone;
  if (!reward) return this->OnFailure(*sample, reward.error());
  ready->reward = *reward;
  this->RefreshOldestAllowedVersion(task);
  if (ready->MinVersion() < this->oldest_allowed_version) return this->OnFailure(*sample, stale);
  this->Complete(task, sample, attempt, std::move(*ready));
  return Outcome::kDone;
}

GroupRunner::Outcome GroupRunner::OnFailure(const Sample& sample, const Error& error) {
  this->context.metrics.Increment("anvilcroft_samples_rerun_total",
                                  {{"reason", ErrorCodeName(error.code)}});
  LogInfo(kPart, "sample attempt failed; retrying after a backoff",
          {{"sample", this->group.id.SampleKey(sample.missing.index)},
           {"reason", ErrorCodeName(error.code)},
           {"error", error.message}});
  const bool refused = error.code == ErrorCode::kCrashesTargets ||
                       error.code == ErrorCode::kInvalidArgument ||
                       error.code == ErrorCode::kTooLarge || error.code == ErrorCode::kNotFound;
  return refused ? Outcome::kRefused : Outcome::kFailed;
}

Result<WorkResult> GroupRunner::RunRequest(Task& task, const std::shared_ptr<Sample>& sample,
                                           SampleAttempt& attempt, WorkRequest::Builder builder,
                                           Duration timeout) {
  Span span = this->context.tracer.Start("sample", TraceContext());
  span.SetAttribute("sample", this->group.id.SampleKey(sample->missing.index));
  const auto request =
      builder.SetRequestId(this->context.self + "-" + RandomHex(this->context.random, 16))
          .SetDeadline(SteadyNow() + timeout)
          .SetPriority(Priority::kLow)
          .SetTrace(span.Context())
          .SetCancellation(attempt.cancellation)
          .Build();
  span.SetAttribute("service", request.Service());
  auto result = this->context.run(task, request);
  if (result) span.SetAttribute("target", result->TargetId());
  this->context.tracer.End(span, result ? "ok" : ErrorCodeName(result.error().code));
  return result;
}

Result<ReadyRecord> GroupRunner::Generate(Task& task, const std::shared_ptr<Sample>& sample,
                                          SampleAttempt& attempt) {
  const std::string key = this->group.id.SampleKey(sample->missing.index);
  // The seed depends on the sample and not on the attempt. The body then stays the same, so that
  // repeated attempts are recognised as the same request when it crashes its targets.
  const nlohmann::json body = {{"prompt", this->group.prompt},
                               {"max_tokens", this->group.max_tokens},
                               {"seed", StableHash(key) & 0x7fffffff}};
  WorkRequest::Builder builder;
  builder.SetService(this->group.service)
      .SetOperation(this->group.operation)
      .SetBody(DumpJson(body))
      .SetExcluded(attempt.excluded);
  if (attempt.first_copy) {
    builder.SetOnDispatch([sample](const std::string& target) { sample->target = target; });
  }
  const auto result = this->RunRequest(task, sample, attempt, std::move(builder), kGenerateTimeout);
  if (!result) return tl::unexpected<Error>(result.error());
  if (!result->Spans().empty()) {
    const int64_t version = result->Spans().back().version;
    this->context.versions.Observe(result->TargetId(), version, SteadyNow());
  }
  return ReadOutput(*result);
}

Result<double> GroupRunner::Judge(Task& task, const std::shared_ptr<Sample>& sample,
                                  SampleAttempt& attempt, const std::string& output) {
  const nlohmann::json body = {{"sample", this->group.id.SampleKey(sample->missing.index)},
                               {"prompt", this->group.prompt},
                               {"output", output}};
  Duration backoff = kInitialBackoff;
  for (int tries = 1;; ++tries) {
    WorkRequest::Builder builder;
    builder.SetService(this->group.judge).SetOperation("judge").SetBody(DumpJson(body));
    const auto result = this->RunRequest(task, sample, attempt, std::move(builder), kJudgeTimeout);
    Error failure{ErrorCode::kBadResponse, "the judge's response has no numeric reward", "",
                  Ran::kYes};
    if (result && result->Status() == 200) {
      const auto answer = ParseJson(result->Body());
      if (answer && answer->is_object() && answer->contains("reward") &&
          (*answer)["reward"].is_number()) {
        return (*answer)["reward"].get<double>();
      }
    } else if (!result) {
      failure = result.error();
    }
    if (sample->done || tries >= kJudgeAttempts) return tl::unexpected<Error>(failure);
    SleepUntil(task, SteadyNow() + backoff);
    backoff = std::min<Duration>(backoff * 2, kMaxBackoff);
  }
}

void GroupRunner::RefreshOldestAllowedVersion(Task& task) {
  const auto trainer =
      this->context.store.ReadTrainer(task, this->group.id.trainer, SteadyNow() + kStoreTimeout);
  // A failed read does not stop the sample, because the take checks its staleness again.
  if (trainer && *trainer) this->oldest_allowed_version = (*trainer)->OldestAllowedVersion();
}

void GroupRunner::Complete(Task& task, const std::shared_ptr<Sample>& sample,
                           const SampleAttempt& attempt, ReadyRecord ready) {
  ready.output_bytes = static_cast<int64_t>(DumpJson(ready.output).size());
  if (ready.output_bytes > static_cast<int64_t>(ReadyRecord::kMaxInlineBytes)) {
    while (ready.output_key.empty() && !sample->done) {
      auto key = this->context.objects.Put(task, ready.output, SteadyNow() + kStoreTimeout);
      if (key) {
        ready.output_key = std::move(*key);
        ready.output.clear();
      } else {
        SleepUntil(task, SteadyNow() + kStoreRetry);
      }
    }
  }
  while (!sample->done) {
    const auto completion = this->context.store.Complete(task, this->group.id, sample->missing,
                                                         ready, SteadyNow() + kStoreTimeout);
    if (sample->done) break;
    if (!completion) {
      LogWarning(kPart, "cannot record a completed sample; retrying",
                 {{"sample", this->group.id.SampleKey(sample->missing.index)},
                  {"error", completion.error().message}});
      SleepUntil(task, SteadyNow() + kStoreRetry);
      continue;
    }
    sample->done = true;
    const bool completed_here = *completion == SampleStore::Completion::kCompleted;
    this->context.metrics.Increment("anvilcroft_samples_completed_total",
                                    {{"outcome", completed_here ? "completed" : "superseded"}});
    this->durations.push_back(SteadyNow() - attempt.started);
  }
  // Cancels the other copy. Cancelling this copy's finished request has no effect.
  const auto cancellations = sample->cancellations;
  for (const auto& cancellation : cancellations) cancellation->Cancel();
  this->changed->NotifyAll();
}

}  // namespace anvilcroft
