#include "anvilcroft/item_runner.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

using Kind = platform::GenerationOutcome::Kind;

constexpr char kPart[] = "item";
// Delay after an engine has refused an item; engines free a slot within tens of milliseconds.
constexpr Duration kRefusalPause = milliseconds(40);
constexpr Duration kAvoidTime = seconds(3);  // failures of an engine last seconds
constexpr Duration kScoreTimeout = milliseconds(2500);
constexpr Duration kScorePause = milliseconds(60);
constexpr Duration kMaxScorePause = milliseconds(500);
constexpr Duration kMaxRunTime = seconds(60);  // longer than any run; the end of the job cancels it

// Least urgent priority of runs in an engine's queue.
constexpr int kMaxUrgency = 9;
// A run is given up after this many times the usual time for an event, or after kMaxSilence if that
// is longer.
constexpr double kMaxSilenceEvents = 12;

// Milliseconds from `begin` to `end`; empty if `end` is not set, because it did not happen on this
// instance.
std::string MillisSince(TimePoint begin, TimePoint end) {
  return end == TimePoint() ? "" : std::to_string(ToMillis(end - begin));
}

}  // namespace

bool ItemRunner::MaySend(const OwnedJob& job) const {
  const BootTime now = BootNow();
  return !job.removed && this->context.lease.Held().ValidAt(now) &&
         now - this->context.jobs_confirmed_at < this->context.max_job_age;
}

int ItemRunner::Urgency(const OwnedJob& job) const {
  const auto routes = this->context.routes();
  const ServiceRoute* route = routes ? routes->Match(job.head.host, job.head.path) : nullptr;
  const auto priority = routes ? routes->PriorityOf(route, job.head.customer) : std::nullopt;
  return std::clamp(priority.value_or(kMaxUrgency), 0, kMaxUrgency);
}

Duration ItemRunner::MaxSilence(const std::string& engine) const {
  const EngineState* state = this->context.engine_tracker.Find(engine);
  const double event_ms = state == nullptr ? 0 : state->pace.NormalMs();
  return std::max<Duration>(
      kMaxSilence, std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double, std::milli>(kMaxSilenceEvents * event_ms)));
}

void ItemRunner::Start(const std::shared_ptr<OwnedJob>& job, std::size_t index,
                       const std::string& engine, int64_t version) {
  EngineState* state = this->context.engine_tracker.Find(engine);
  if (state == nullptr) return;
  OwnedItem& item = job->items[index];
  item.phase = ItemPhase::kRunning;
  item.engine = engine;
  item.last_event = SteadyNow();
  item.events_before_run = item.text.events;
  if (item.runs++ == 0) item.first_run_at = item.last_event;
  item.run = std::make_shared<Cancellation>();
  ++state->running[job->head.model];
  this->context.pool.OnRequestStarted(engine);
  this->context.runtime.Spawn([this, job, index, entry = state->entry, version](Task& task) {
    this->Run(task, job, index, entry, version);
  });
}

Result<SendPermit> ItemRunner::AcquirePermit(Task& task, OwnedItem& item,
                                             const TargetEntry& engine) {
  item.awaiting_permit = true;
  if (EngineState* state = this->context.engine_tracker.Find(engine.id)) ++state->awaiting_permit;
  auto permit =
      this->context.limiter.Acquire(task, engine, CallPurpose::kItem, RequestLimiter::kMaxWait);
  if (EngineState* state = this->context.engine_tracker.Find(engine.id)) {
    state->awaiting_permit = std::max(0, state->awaiting_permit - 1);
  }
  item.awaiting_permit = false;
  this->context.plan_inputs_changed.NotifyAll();
  return permit;
}

void ItemRunner::Run(Task& task, const std::shared_ptr<OwnedJob>& job, std::size_t index,
                     const TargetEntry& engine, int64_t version) {
  OwnedItem& item = job->items[index];
  const std::shared_ptr<Cancellation> run = item.run;
  const int64_t resumed_after = item.text.events;
  const TimePoint started = SteadyNow();
  platform::GenerationRequest request;
  request.id = item.item.id;
  request.host = job->head.host;
  request.path = item.item.path;
  request.headers = item.item.headers;
  request.body = item.item.body;
  request.resume_after = item.text.events;
  request.expected_version = version;
  request.urgency = this->Urgency(*job);
  const auto routes = this->context.routes();
  // The customer of a job stays its customer after its keys, or all customers, have been removed.
  if (!job->head.customer.empty() || (routes && routes->Customers().Enabled())) {
    request.customer = job->head.customer;
  }
  const CallOptions options = CallOptions(started + kMaxRunTime, this->MaxSilence(engine.id))
                                  .WithCancellation(run)
                                  .WithSendGuard([this, job] { return this->MaySend(*job); });
  TimePoint last_event = started;
  bool too_long = false;
  const auto on_event = [&](const platform::GenerationEvent& event) -> Result<void> {
    // An event holds at least one token.
    if (!item.text.HasRoom(event.data.size(), static_cast<int64_t>(item.item.max_output_tokens))) {
      too_long = true;
      return Fail(ErrorCode::kTooLarge, "the text is longer than that of any run of the item");
    }
    const TimePoint now = SteadyNow();
    // The time to the first event includes the processing of the prompt.
    if (event.number > resumed_after + 1) {
      this->context.engine_tracker.RecordEventTime(engine.id, now - last_event, now);
    }
    last_event = now;
    item.last_event = now;
    item.text.Add(event.data, event.weight_version);
    item.text.software = engine.software;
    item.held_since.reset();
    return {};
  };
  platform::GenerationOutcome outcome;
  if (auto permit = this->AcquirePermit(task, item, engine)) {
    last_event = item.last_event = SteadyNow();
    outcome = this->context.engines.Generate(task, std::move(*permit), engine, request, options,
                                             on_event);
  } else {
    outcome.kind = Kind::kNotExecuted;
    outcome.reason = permit.error().message;
  }
  const TimePoint now = SteadyNow();
  const bool cancelled = run->Cancelled();
  TargetOutcome health = TargetOutcome::kServed;
  if (cancelled) {
    health = TargetOutcome::kAbandoned;
  } else if (outcome.kind == Kind::kNotExecuted || outcome.kind == Kind::kWrongTarget) {
    health = TargetOutcome::kRefused;
  } else if (outcome.kind == Kind::kBroken) {
    health = outcome.status == 0 ? TargetOutcome::kNoResponse : TargetOutcome::kFailed;
  } else if (outcome.kind == Kind::kFailed) {
    health = TargetOutcome::kFailed;
  }
  this->context.pool.OnRequestFinished(engine.id, health, now - started, now);
  if (EngineState* state = this->context.engine_tracker.Find(engine.id)) {
    int& running = state->running[job->head.model];
    running = std::max(0, running - 1);
    if (item.text.events > resumed_after) {
      this->context.engine_tracker.RecordVersion(engine.id, job->head.model,
                                                 item.text.last_version);
    }
  }
  LogDebug(kPart, "run ended",
           {{"item", item.item.id},
            {"batch", job->head.id},
            {"engine", engine.id},
            {"outcome", std::to_string(static_cast<int>(outcome.kind))},
            {"reason", outcome.reason},
            {"events", std::to_string(item.text.events)},
            {"ms", std::to_string(ToMillis(now - started))}});
  if (outcome.kind == Kind::kWrongTarget) this->context.engine_tracker.MarkUnconfirmed(engine.id);
  if (too_long) {
    this->DropText(item, "it is longer than any run of the item, so some of its events are wrong");
  }
  item.engine.clear();
  item.run = nullptr;
  this->context.plan_inputs_changed.NotifyAll();
  if (item.phase != ItemPhase::kRunning) return;  // another owner has listed a result
  if (outcome.kind == Kind::kComplete && !cancelled) {
    item.text.complete = true;
    item.text_done_at = now;
  }
  if (job->removed) {
    item.phase = ItemPhase::kWaiting;
    return;
  }
  if (item.text.complete) {
    this->Score(task, job, index);
    return;
  }
  item.phase = ItemPhase::kWaiting;
  if (outcome.kind == Kind::kUnprocessable) {
    this->Expire(job, index, "the engine answered that the item can never run");
    return;
  }
  if (!cancelled) this->HandleIncompleteRun(item, engine.id, outcome, now);
}

void ItemRunner::HandleIncompleteRun(OwnedItem& item, const std::string& engine,
                                     const platform::GenerationOutcome& outcome, TimePoint now) {
  LogInfo(kPart, "run did not complete",
          {{"item", item.item.id},
           {"engine", engine},
           {"reason", outcome.reason},
           {"events", std::to_string(item.text.events)}});
  if (outcome.kind == Kind::kFailed) ++item.failures;
  if (outcome.kind == Kind::kNotExecuted) {
    item.not_before = now + kRefusalPause;
  } else if (outcome.kind == Kind::kWrongTarget) {
    item.not_before = now + kRefusalPause;
    item.avoid[engine] = now + kRefusalPause * 5;
  } else {
    item.avoid[engine] = now + kAvoidTime;
  }
}

void ItemRunner::StartScoring(const std::shared_ptr<OwnedJob>& job, std::size_t index) {
  job->items[index].phase = ItemPhase::kScoring;
  this->context.runtime.Spawn([this, job, index](Task& task) { this->Score(task, job, index); });
}

void ItemRunner::Score(Task& task, const std::shared_ptr<OwnedJob>& job, std::size_t index) {
  OwnedItem& item = job->items[index];
  item.phase = ItemPhase::kScoring;
  ItemResult result;
  result.item_id = item.item.id;
  result.completed = true;
  if (item.item.score) {
    const ScoreRequest& score = *item.item.score;
    int failures = 0;
    while (true) {
      if (this->DropForbiddenText(*job, item)) return;
      if (!this->MaySend(*job)) {
        if (job->removed || !this->context.lease.Held().ValidAt(BootNow())) {
          item.phase = ItemPhase::kWaiting;
          return;
        }
        SleepUntil(task, SteadyNow() + kScorePause);
        continue;
      }
      LiveRequest request;
      request.message.id = score.id;
      request.message.method = "POST";
      request.message.target = score.path;
      request.message.headers = HttpHeaders({{"Host", score.host}});
      request.message.body = score.body;
      request.message.keep_response_body = false;  // the score is the signature
      request.host = score.host;
      request.path = score.path.substr(0, score.path.find('?'));
      request.deadline = SteadyNow() + kScoreTimeout;
      item.run = std::make_shared<Cancellation>();
      request.caller_disconnected = item.run;
      request.id_repeats = true;  // the group of the item may have been in an earlier job
      const LiveOutcome outcome = this->context.live.Serve(task, request);
      item.run = nullptr;
      if (item.phase != ItemPhase::kScoring) return;  // another owner has listed a result
      if (job->removed) {
        item.phase = ItemPhase::kWaiting;
        return;
      }
      const auto& reply = outcome.reply;
      if (outcome.kind == LiveOutcome::Kind::kAnswered && reply.status / 100 == 2 &&
          !reply.signature.empty()) {
        result.score = reply.signature;
        break;
      }
      const auto routes = this->context.routes();
      const ServiceRoute* route = routes ? routes->Match(job->head.host, job->head.path) : nullptr;
      const ServiceRoute* score_route =
          routes ? routes->Match(request.host, request.path) : nullptr;
      failures += outcome.failures;
      const int max_failures = std::max(route == nullptr ? 1 : route->max_targets,
                                        score_route == nullptr ? 1 : score_route->max_targets);
      LogInfo(kPart, "a scoring request failed",
              {{"item", item.item.id},
               {"request", score.id},
               {"reason", outcome.reason},
               {"target", outcome.target},
               {"status", std::to_string(reply.status)},
               {"failures", std::to_string(failures)}});
      if (failures >= max_failures) {
        this->Expire(job, index, "the scoring request failed as often as the routes allow");
        return;
      }
      SleepUntil(task, SteadyNow() + std::max(kScorePause,
                                              std::min(kMaxScorePause, outcome.retry_after.value_or(
                                                                           Duration::zero()))));
    }
  }
  if (this->DropForbiddenText(*job, item)) return;
  result.text = item.text.data;
  result.versions = item.text.versions;
  std::sort(result.versions.begin(), result.versions.end());
  this->Finish(job, index, std::move(result));
}

bool ItemRunner::DropForbiddenText(const OwnedJob& job, OwnedItem& item) {
  const auto routes = this->context.routes();
  const ServiceRoute* route = routes ? RouteOf(*routes, job.head, item.item) : nullptr;
  if (route == nullptr || TextAllowed(item, job.head, *route)) return false;
  this->DropText(item, "its job or route does not allow its weight versions");
  item.phase = ItemPhase::kWaiting;
  this->context.plan_inputs_changed.NotifyAll();
  return true;
}

void ItemRunner::DropText(OwnedItem& item, const char* reason) {
  LogInfo(kPart, "dropped the text of an item, which starts anew",
          {{"item", item.item.id},
           {"reason", reason},
           {"text_version", std::to_string(item.text.last_version)},
           {"text_software", item.text.software},
           {"events", std::to_string(item.text.events)}});
  this->context.metrics.Increment("anvilcroft_texts_restarted_total", {});
  item.text = ItemText();
  item.saved_events = 0;  // the next save replaces the text
  item.held_since.reset();
}

void ItemRunner::Expire(const std::shared_ptr<OwnedJob>& job, std::size_t index,
                        const char* reason) {
  LogInfo(kPart, "gave up on an item; listing it as expired",
          {{"item", job->items[index].item.id}, {"batch", job->head.id}, {"reason", reason}});
  ItemResult result;
  result.item_id = job->items[index].item.id;
  this->Finish(job, index, std::move(result));
}

void ItemRunner::Finish(const std::shared_ptr<OwnedJob>& job, std::size_t index,
                        ItemResult result) {
  OwnedItem& item = job->items[index];
  item.phase = ItemPhase::kFinished;
  const TimePoint now = SteadyNow();
  LogInfo(kPart, result.completed ? "finished" : "expired",
          {{"item", item.item.id},
           {"batch", job->head.id},
           {"events", std::to_string(item.text.events)},
           {"expected_tokens", std::to_string(static_cast<int64_t>(item.item.expected_tokens))},
           {"runs", std::to_string(item.runs)},
           {"moves", std::to_string(item.moves)},
           {"began_ms", MillisSince(job->owned_since, item.first_run_at)},
           {"text_ms", MillisSince(job->owned_since, item.text_done_at)},
           {"age_ms", MillisSince(job->owned_since, now)}});
  this->context.metrics.Increment("anvilcroft_batch_items_total",
                                  {{"outcome", result.completed ? "completed" : "expired"}});
  job->unlisted_results.push_back(std::move(result));
  job->unlisted_results_changed.NotifyAll();
  this->context.plan_inputs_changed.NotifyAll();
}

}  // namespace anvilcroft
