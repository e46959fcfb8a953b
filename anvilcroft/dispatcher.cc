#include "anvilcroft/dispatcher.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "anvilcroft/app_call.h"
#include "anvilcroft/engine_call.h"
#include "anvilcroft/event.h"
#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

constexpr Duration kTargetPollInterval = milliseconds(50);
// A unary call shows no progress before its response, so the silence of a repeatable one is limited
// to this multiple of the 95th percentile of the observed latencies.
constexpr int kSilenceLatencyFactor = 20;
// Low-priority work may wait for a long time in an engine's queue, so its maximum silence is this
// many times longer.
constexpr int kLowPrioritySilenceFactor = 3;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string LatencyKey(const WorkRequest& request) {
  return request.Service() + "/" + request.Operation();
}

}  // namespace

// One copy of a work item and the state of its successive attempts.
struct Dispatcher::RequestCopy {
  std::shared_ptr<Cancellation> cancel = std::make_shared<Cancellation>();
  std::set<std::string> tried;    // targets on which an attempt failed
  std::set<std::string> avoided;  // target that runs the other copy
  std::string current;            // target of the current attempt
  bool popular = false;           // whether the prompt prefix is popular
  bool sent = false;              // whether a target may have run any part of the item
  TimePoint waiting_since;        // start of the wait for the next target
  bool cleared = false;           // whether the output has passed the point of a crash
  std::shared_ptr<void> suspect;  // held while the item is a suspect that has shown no progress
  EngineOutput output;

  // Returns `error` with ran changed from kNo to kUnknown if an earlier attempt may have run.
  Error WithRanSoFar(Error error) const {
    return this->sent && error.ran == Ran::kNo ? error.WithRan(Ran::kUnknown) : error;
  }
};

// A hedged request: two copies, of which the first complete response is used. Shared with the tasks
// that run the copies, because the losing copy may outlive the request.
struct Dispatcher::Race {
  std::array<RequestCopy, 2> copies;
  std::array<std::optional<Result<WorkResult>>, 2> results;
  Event changed;
};

Dispatcher::Dispatcher(const Builder& builder)
    : runtime(builder.runtime),
      http(builder.http),
      targets(builder.targets),
      crashes(builder.crashes),
      tracer(builder.tracer),
      metrics(builder.metrics),
      zone(builder.zone),
      pick(builder.pick),
      suspect_target(builder.suspect_target),
      suspect_turn(builder.suspect_turn),
      random(builder.seed),
      failure_handler(builder.http, builder.targets, builder.crashes) {}

Dispatcher::~Dispatcher() = default;

Result<WorkResult> Dispatcher::Run(Task& task, const std::shared_ptr<const WorkItem>& item,
                                   const StreamSink& sink) {
  this->retries.OnRequest();
  this->hedges.OnRequest();
  const WorkRequest& request = item->request;
  const std::string latency_key = LatencyKey(request);
  const bool hedgeable = item->short_work && item->operation.repeatable && !sink;
  const std::optional<Duration> delay =
      hedgeable ? this->latencies[latency_key].Quantile(0.95) : std::nullopt;
  const TimePoint started = SteadyNow();
  const bool popular = this->prefixes.RecordUse(item->prefix, started);
  Result<WorkResult> result;
  if (delay) {
    result = this->RunHedged(task, item, std::max(*delay, kMinHedgeDelay), popular);
  } else {
    RequestCopy copy;
    copy.popular = popular;
    std::shared_ptr<void> subscription;
    if (request.CancellationToken()) {
      subscription =
          request.CancellationToken()->OnCancel([cancel = copy.cancel] { cancel->Cancel(); });
    }
    result = this->RunCopy(task, *item, sink, copy);
  }
  if (result && item->short_work) this->latencies[latency_key].Add(SteadyNow() - started);
  return result;
}

Result<WorkResult> Dispatcher::RunHedged(Task& task, const std::shared_ptr<const WorkItem>& item,
                                         Duration delay, bool popular) {
  const auto race = std::make_shared<Race>();
  for (RequestCopy& copy : race->copies) copy.popular = popular;
  std::shared_ptr<void> subscription;
  if (item->request.CancellationToken()) {
    subscription = item->request.CancellationToken()->OnCancel([race] {
      for (RequestCopy& copy : race->copies) copy.cancel->Cancel();
    });
  }
  const TimePoint hedge_at = SteadyNow() + delay;
  std::size_t started = 1;
  bool hedge_decided = false;
  this->StartCopy(item, race, 0);
  while (true) {
    std::size_t ended = 0;
    for (std::size_t i = 0; i < started; ++i) {
      if (!race->results[i]) continue;
      ++ended;
      if (!race->results[i]->has_value()) continue;
      race->copies[1 - i].cancel->Cancel();
      if (i == 1) this->metrics.Increment("anvilcroft_hedge_wins_total", {});
      return *race->results[i];
    }
    if (ended == started) {
      // Both copies failed. The error of the first is returned, but the second may have run a part
      // of the item.
      Error error = race->results[0]->error();
      if (race->copies[1].sent && error.ran == Ran::kNo) error.ran = Ran::kUnknown;
      return tl::unexpected<Error>(error);
    }
    if (hedge_decided) {
      race->changed.Wait(task);
      continue;
    }
    if (race->changed.WaitUntil(task, hedge_at) || SteadyNow() < hedge_at) continue;
    hedge_decided = true;
    race->copies[1].avoided = {race->copies[0].current};
    if (this->Pick(*item, race->copies[1], false, SteadyNow()) && this->hedges.TryConsume()) {
      this->metrics.Increment("anvilcroft_hedges_total", {{"service", item->request.Service()}});
      started = 2;
      this->StartCopy(item, race, 1);
    }
  }
}

void Dispatcher::StartCopy(const std::shared_ptr<const WorkItem>& item,
                           const std::shared_ptr<Race>& race, std::size_t index) {
  this->runtime.Spawn([this, item, race, index](Task& task) {
    race->results[index] = this->RunCopy(task, *item, StreamSink(), race->copies[index]);
    race->changed.NotifyAll();
  });
}

Result<WorkResult> Dispatcher::RunCopy(Task& task, const WorkItem& item, const StreamSink& sink,
                                       RequestCopy& copy) {
  const WorkRequest& request = item.request;
  const bool repeatable = item.operation.repeatable;
  Error error{ErrorCode::kNoTarget, "the work was not sent to any target", "", Ran::kNo};
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (item.kind == TargetKind::kModelEngine && copy.output.Size() >= item.max_tokens) {
      // All tokens have arrived; only the final event is missing.
      copy.output.SetFinish("length");
      return WorkResult::Builder()
          .SetBody(copy.output.Body(request.RequestId()))
          .SetTargetId(copy.current)
          .SetSpans(copy.output.Spans())
          .Build();
    }
    const auto target = this->WaitForTarget(task, item, copy);
    if (!target) return tl::unexpected<Error>(copy.WithRanSoFar(target.error()));
    if (attempt > 0) {
      this->metrics.Increment("anvilcroft_retries_total", {{"service", request.Service()}});
    }
    copy.current = (*target)->Description().Id();
    const std::string start_before = (*target)->InstanceStart();
    auto result = this->CallTarget(task, item, sink, copy, *target);
    if (result) {
      this->crashes.ClearCrashes(item.fingerprint);
      return result;
    }

    error = result.error();
    copy.sent = copy.sent || error.ran != Ran::kNo;
    if (copy.cancel->Cancelled()) {
      error.code = ErrorCode::kCancelled;
      break;
    }
    const RetryDecision decision = this->failure_handler.HandleFailure(
        task, *target, error, item.fingerprint, start_before, copy.tried, request.Deadline());
    copy.tried.insert(copy.current);
    // Work that must not be repeated is retried only if no byte of it was sent.
    if (!repeatable && error.code != ErrorCode::kConnectFailed) break;
    if (decision == RetryDecision::kGiveUp) break;
    this->WaitForCrashConfirmation(task, item, copy);
    if (const auto allowed = this->crashes.Check(item.fingerprint, SteadyNow()); !allowed) {
      error = allowed.error();
      break;
    }
    if (decision == RetryDecision::kRetryCharged && !this->retries.TryConsume()) {
      this->metrics.Increment("anvilcroft_retries_refused_total", {{"service", request.Service()}});
      break;
    }
  }
  return tl::unexpected<Error>(copy.WithRanSoFar(error));
}

void Dispatcher::WaitForCrashConfirmation(Task& task, const WorkItem& item,
                                          const RequestCopy& copy) {
  while (!copy.cancel->Cancelled() && SteadyNow() < item.request.Deadline() &&
         this->crashes.RefusalPending(item.fingerprint, SteadyNow())) {
    SleepUntil(task, SteadyNow() + kTargetPollInterval);
  }
}

Result<std::shared_ptr<TargetState>> Dispatcher::WaitForTarget(Task& task, const WorkItem& item,
                                                               RequestCopy& copy) {
  const TimePoint deadline = item.request.Deadline();
  copy.waiting_since = SteadyNow();
  const TimePoint until = std::min(deadline, copy.waiting_since + kMaxTargetWait);
  while (true) {
    const TimePoint now = SteadyNow();
    if (now >= deadline) {
      return Fail(ErrorCode::kDeadlineExceeded, "the deadline passed before a response arrived");
    }
    if (copy.cancel->Cancelled()) return Fail(ErrorCode::kCancelled, "the request was cancelled");
    auto target = this->Pick(item, copy, false, now);
    if (!target) target = this->Pick(item, copy, true, now);
    if (target) return target;
    if (now >= until) {
      return Fail(ErrorCode::kNoTarget, "no target of the service accepts new work",
                  item.request.Service());
    }
    SleepUntil(task, std::min(until, now + kTargetPollInterval));
  }
}

std::shared_ptr<TargetState> Dispatcher::Pick(const WorkItem& item, const RequestCopy& copy,
                                              bool repeat, TimePoint now) {
  Candidates eligible;
  const auto subset = this->targets.SubsetTargets(item.request.Service());
  for (const auto& state : subset) {
    const std::string& id = state->Description().Id();
    if (!state->Eligible(now) || item.request.Excluded().count(id) != 0 ||
        copy.avoided.count(id) != 0 || (!repeat && copy.tried.count(id) != 0)) {
      continue;
    }
    eligible.push_back(state);
  }
  if (this->crashes.Count(item.fingerprint, now) > 0) {
    const Duration own_targets_time = kSuspectTurnLength * (1 + this->suspect_turn());
    this->SeparateSuspects(subset, now - copy.waiting_since >= own_targets_time, eligible);
  }
  if (eligible.empty()) return nullptr;
  PickContext context{this->zone, TypicalLatency(eligible)};
  if (copy.popular) context.home = HomeOf(item.prefix, eligible);
  return this->pick(eligible, context, this->random, now);
}

// Keeps in `eligible` the targets that are assigned to this instance and run no suspect. Lost
// targets stay part of the assignment, because instances do not all detect a loss at the same time.
// With `share`, an instance none of whose targets is eligible may use the targets of other
// instances.
void Dispatcher::SeparateSuspects(const Candidates& subset, bool share,
                                  Candidates& eligible) const {
  std::vector<std::string> ids;
  for (const auto& state : subset) ids.push_back(state->Description().Id());
  const auto not_assigned = [&](const auto& state) {
    return !this->suspect_target(ids, state->Description().Id());
  };
  const auto end = std::remove_if(eligible.begin(), eligible.end(), not_assigned);
  if (end != eligible.begin() || !share) eligible.erase(end, eligible.end());
  const auto runs_suspect = [](const auto& state) { return state->Suspects() > 0; };
  eligible.erase(std::remove_if(eligible.begin(), eligible.end(), runs_suspect), eligible.end());
}

Result<WorkResult> Dispatcher::CallTarget(Task& task, const WorkItem& item, const StreamSink& sink,
                                          RequestCopy& copy,
                                          const std::shared_ptr<TargetState>& target) {
  if (item.request.OnDispatch()) item.request.OnDispatch()(target->Description().Id());
  const auto in_flight = target->BeginWork();
  if (this->crashes.Count(item.fingerprint, SteadyNow()) > 0) copy.suspect = target->AddSuspect();
  Span span = this->tracer.Start("target", item.request.Trace());
  span.SetAttribute("target", target->Description().Id());
  span.SetAttribute("service", item.request.Service());
  span.SetAttribute("request_id", item.request.RequestId());
  auto result = item.kind == TargetKind::kModelEngine
                    ? this->CallModel(task, item, sink, copy, target, span)
                    : this->CallUnary(task, item, copy, target, span);
  copy.suspect.reset();
  const std::string status = result ? "ok" : ErrorCodeName(result.error().code);
  this->tracer.End(span, status);
  this->metrics.Increment("anvilcroft_target_calls_total",
                          {{"service", item.request.Service()}, {"outcome", status}});
  return result;
}

Result<WorkResult> Dispatcher::CallModel(Task& task, const WorkItem& item, const StreamSink& sink,
                                         RequestCopy& copy,
                                         const std::shared_ptr<TargetState>& target,
                                         const Span& span) {
  const WorkRequest& request = item.request;
  const Endpoint address = target->Description().Address();
  // Each call has an id of its own, so that a cancellation does not end another copy of the same
  // request.
  const std::string call_id = request.RequestId() + "." + RandomHex(this->random, 8);
  TimePoint last_event = SteadyNow();
  int events = 0;
  const auto on_event = [&](Task& inner, const nlohmann::json& event) -> Result<void> {
    const TimePoint now = SteadyNow();
    target->ObserveLatency(Seconds(now - last_event), now);
    last_event = now;
    copy.suspect.reset();
    if (++events == kEventsPastCrash && !copy.cleared && !copy.tried.empty()) {
      copy.cleared = true;  // only once, so that a request that crashes targets late is detected
      this->crashes.ClearCrashes(item.fingerprint);
    }
    if (!sink) return {};
    nlohmann::json forwarded = event;
    forwarded["request_id"] = request.RequestId();
    const auto written = sink(inner, DumpJson(forwarded));
    if (!written) {
      // The caller has disconnected, so the remaining output is not needed.
      copy.cancel->Cancel();
      return Fail(ErrorCode::kCancelled, written.error().message, "caller", Ran::kUnknown);
    }
    last_event = SteadyNow();
    return {};
  };
  const Duration remaining = request.Deadline() - last_event;
  const int silence_factor =
      request.RequestPriority() == Priority::kLow ? kLowPrioritySilenceFactor : 1;
  const Duration silence =
      std::clamp<Duration>(remaining / 3, kMinSilence, kMaxSilence * silence_factor);
  const auto options = CallOptions(request.Deadline(), silence).WithCancellation(copy.cancel);

  EngineCall call(this->http, address, call_id, span.Context());
  const auto end = call.Run(task, item.engine_body, options, copy.output, on_event);
  if (!end) {
    if (end.error().ran != Ran::kNo) {
      const double waited = Seconds(SteadyNow() - last_event);
      if (waited > target->MeanLatency()) target->ObserveLatency(waited, SteadyNow());
      this->CancelAtEngine(target, call_id);
    }
    return tl::unexpected<Error>(end.error());
  }
  if (end->has_load) target->OnLoad(end->running, end->waiting, SteadyNow());
  WorkResult::Builder result;
  result.SetTargetId(target->Description().Id()).SetStatus(end->status);
  if (end->status != 200) {
    if (copy.output.Size() > 0) {
      return Fail(ErrorCode::kBadResponse, "the engine refused to resume partial output", "status",
                  Ran::kUnknown);
    }
    return result.SetBody(end->body).Build();
  }
  return result.SetBody(copy.output.Body(request.RequestId()))
      .SetSpans(copy.output.Spans())
      .Build();
}

Result<WorkResult> Dispatcher::CallUnary(Task& task, const WorkItem& item, RequestCopy& copy,
                                         const std::shared_ptr<TargetState>& target,
                                         const Span& span) {
  const WorkRequest& request = item.request;
  const Endpoint address = target->Description().Address();
  AppCall call;
  call.path = item.operation.path;
  call.request_id = request.RequestId();
  call.idempotency_key = request.IdempotencyKey();
  call.body = request.Body();
  call.trace = span.Context();
  call.id_required = item.kind == TargetKind::kAppEngine;
  const TimePoint started = SteadyNow();
  Duration silence = request.Deadline() - started;
  if (item.operation.repeatable) {
    silence /= 2;
    const auto slow = this->latencies[LatencyKey(request)].Quantile(0.95);
    if (slow) silence = std::min(silence, std::max(2 * kMinSilence, kSilenceLatencyFactor * *slow));
  }
  auto options = CallOptions(request.Deadline(), silence).WithCancellation(copy.cancel);
  // The target may be closing a pooled idle connection at this moment, and a failed call would then
  // leave it unknown whether the work ran.
  if (!item.operation.repeatable) options = options.WithFreshConnection();

  const auto response = CallApp(task, this->http, address, call, options);
  const TimePoint now = SteadyNow();
  const double elapsed = Seconds(now - started);
  if (!response) {
    if (response.error().ran != Ran::kNo && elapsed > target->MeanLatency()) {
      target->ObserveLatency(elapsed, now);
    }
    return tl::unexpected<Error>(response.error());
  }
  target->ObserveLatency(elapsed, now);
  const std::string type(response->Headers().Find("Content-Type"));
  return WorkResult::Builder()
      .SetStatus(response->Status())
      .SetContentType(type.empty() ? "application/json" : type)
      .SetBody(response->Body())
      .SetTargetId(target->Description().Id())
      .Build();
}

void Dispatcher::CancelAtEngine(const std::shared_ptr<TargetState>& target,
                                const std::string& call_id) {
  const Endpoint address = target->Description().Address();
  this->runtime.Spawn([this, address, call_id](Task& task) {
    EngineCall::SendCancel(task, this->http, address, call_id);
  });
}

Dispatcher::Builder& Dispatcher::Builder::SetZone(std::string value) {
  this->zone = std::move(value);
  return *this;
}

Dispatcher::Builder& Dispatcher::Builder::SetPick(PickHook value) {
  this->pick = std::move(value);
  return *this;
}

Dispatcher::Builder& Dispatcher::Builder::SetSuspects(SuspectTargetHook target,
                                                      SuspectTurnHook turn) {
  this->suspect_target = std::move(target);
  this->suspect_turn = std::move(turn);
  return *this;
}

Dispatcher::Builder& Dispatcher::Builder::SetSeed(uint64_t value) {
  this->seed = value;
  return *this;
}

std::unique_ptr<Dispatcher> Dispatcher::Builder::Build() const {
  return std::unique_ptr<Dispatcher>(new Dispatcher(*this));
}

}  // namespace anvilcroft
