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

constexpr Duration kTargetPoll = milliseconds(50);
// A plain call gives no sign of progress, so its silence is judged by the latencies seen so far.
constexpr int kSilenceLatencies = 20;
// Low-priority work may wait long in an engine's queue.
constexpr int kLowPrioritySilence = 3;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string LatencyKey(const WorkRequest& request) {
  return request.Service() + "/" + request.Operation();
}

}  // namespace

// One copy of a piece of work, with its attempts one after the other.
struct Dispatcher::Leg {
  std::shared_ptr<Cancellation> cancel = std::make_shared<Cancellation>();
  std::set<std::string> tried;    // targets on which an attempt failed
  std::set<std::string> avoided;  // targets of the other copy
  std::string current;            // the target of the attempt under way
  bool popular = false;           // whether the prompt's prefix is popular
  bool sent = false;              // whether a target may have run any part
  TimePoint waiting_since;        // begin of the wait for the next target
  bool acquitted = false;         // whether its output has passed the point of a death
  std::shared_ptr<void> suspect;  // held while the work is a suspect without progress
  EngineOutput output;

  Error Final(Error error) const {
    return this->sent && error.ran == Ran::kNo ? error.WithRan(Ran::kUnknown) : error;
  }
};

// Two copies of which the first whole answer wins. Shared with the tasks that run them, because
// the loser may end after the request.
struct Dispatcher::Race {
  std::array<Leg, 2> legs;
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
      judge(builder.http, builder.targets, builder.crashes) {}

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
  const bool popular = this->prefixes.Note(item->prefix, started);
  Result<WorkResult> result;
  if (delay) {
    result = this->RunHedged(task, item, std::max(*delay, kMinHedgeDelay), popular);
  } else {
    Leg leg;
    leg.popular = popular;
    std::shared_ptr<void> link;
    if (request.CancellationToken()) {
      link = request.CancellationToken()->OnCancel([cancel = leg.cancel] { cancel->Cancel(); });
    }
    result = this->RunLeg(task, *item, sink, leg);
  }
  if (result && item->short_work) this->latencies[latency_key].Add(SteadyNow() - started);
  return result;
}

Result<WorkResult> Dispatcher::RunHedged(Task& task, const std::shared_ptr<const WorkItem>& item,
                                         Duration delay, bool popular) {
  const auto race = std::make_shared<Race>();
  for (Leg& leg : race->legs) leg.popular = popular;
  std::shared_ptr<void> link;
  if (item->request.CancellationToken()) {
    link = item->request.CancellationToken()->OnCancel([race] {
      for (Leg& leg : race->legs) leg.cancel->Cancel();
    });
  }
  const TimePoint hedge_at = SteadyNow() + delay;
  std::size_t started = 1;
  bool decided = false;
  this->StartLeg(item, race, 0);
  while (true) {
    std::size_t ended = 0;
    for (std::size_t i = 0; i < started; ++i) {
      if (!race->results[i]) continue;
      ++ended;
      if (!race->results[i]->has_value()) continue;
      race->legs[1 - i].cancel->Cancel();
      if (i == 1) this->metrics.Increment("anvilcroft_hedge_wins_total", {});
      return *race->results[i];
    }
    if (ended == started) {
      // The first copy's error describes the work; the second may still have run a part of it.
      Error error = race->results[0]->error();
      if (race->legs[1].sent && error.ran == Ran::kNo) error.ran = Ran::kUnknown;
      return tl::unexpected<Error>(error);
    }
    if (decided) {
      race->changed.Wait(task);
      continue;
    }
    if (race->changed.WaitUntil(task, hedge_at) || SteadyNow() < hedge_at) continue;
    decided = true;
    race->legs[1].avoided = {race->legs[0].current};
    if (this->Pick(*item, race->legs[1], false, SteadyNow()) && this->hedges.TryTake()) {
      this->metrics.Increment("anvilcroft_hedges_total", {{"service", item->request.Service()}});
      started = 2;
      this->StartLeg(item, race, 1);
    }
  }
}

void Dispatcher::StartLeg(const std::shared_ptr<const WorkItem>& item,
                          const std::shared_ptr<Race>& race, std::size_t index) {
  this->runtime.Spawn([this, item, race, index](Task& task) {
    race->results[index] = this->RunLeg(task, *item, StreamSink(), race->legs[index]);
    race->changed.NotifyAll();
  });
}

Result<WorkResult> Dispatcher::RunLeg(Task& task, const WorkItem& item, const StreamSink& sink,
                                      Leg& leg) {
  const WorkRequest& request = item.request;
  const bool repeatable = item.operation.repeatable;
  Error error{ErrorCode::kNoTarget, "no attempt was made", "", Ran::kNo};
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (item.kind == TargetKind::kModelEngine && leg.output.Size() >= item.max_tokens) {
      // Only the last event is missing: the output itself is whole.
      leg.output.SetFinish("length");
      return WorkResult::Builder()
          .SetBody(leg.output.Body(request.RequestId()))
          .SetTargetId(leg.current)
          .SetSpans(leg.output.Spans())
          .Build();
    }
    const auto target = this->WaitForTarget(task, item, leg);
    if (!target) return tl::unexpected<Error>(leg.Final(target.error()));
    if (attempt > 0) {
      this->metrics.Increment("anvilcroft_retries_total", {{"service", request.Service()}});
    }
    leg.current = (*target)->Description().Id();
    const std::string start_before = (*target)->InstanceStart();
    auto result = this->CallTarget(task, item, sink, leg, *target);
    if (result) {
      this->crashes.ClearCrashes(item.fingerprint);
      return result;
    }

    error = result.error();
    leg.sent = leg.sent || error.ran != Ran::kNo;
    if (leg.cancel->Cancelled()) {
      error.code = ErrorCode::kCancelled;
      break;
    }
    const Verdict verdict = this->judge.Judge(task, *target, error, item.fingerprint, start_before,
                                              leg.tried, request.Deadline());
    leg.tried.insert(leg.current);
    // Work that may not be repeated goes elsewhere only if no byte of it was sent.
    if (!repeatable && error.code != ErrorCode::kConnectFailed) break;
    if (verdict == Verdict::kGiveUp) break;
    this->WaitForBlame(task, item, leg);
    if (const auto allowed = this->crashes.Check(item.fingerprint, SteadyNow()); !allowed) {
      error = allowed.error();
      break;
    }
    if (verdict == Verdict::kRetryCharged && !this->retries.TryTake()) {
      this->metrics.Increment("anvilcroft_retries_refused_total", {{"service", request.Service()}});
      break;
    }
  }
  return tl::unexpected<Error>(leg.Final(error));
}

void Dispatcher::WaitForBlame(Task& task, const WorkItem& item, const Leg& leg) {
  while (!leg.cancel->Cancelled() && SteadyNow() < item.request.Deadline() &&
         this->crashes.RefusalPending(item.fingerprint, SteadyNow())) {
    SleepUntil(task, SteadyNow() + kTargetPoll);
  }
}

Result<std::shared_ptr<TargetState>> Dispatcher::WaitForTarget(Task& task, const WorkItem& item,
                                                               Leg& leg) {
  const TimePoint deadline = item.request.Deadline();
  leg.waiting_since = SteadyNow();
  const TimePoint until = std::min(deadline, leg.waiting_since + kMaxTargetWait);
  while (true) {
    const TimePoint now = SteadyNow();
    if (now >= deadline) {
      return Fail(ErrorCode::kDeadlineExceeded, "the deadline passed before an answer came");
    }
    if (leg.cancel->Cancelled()) return Fail(ErrorCode::kCancelled, "the request was cancelled");
    auto target = this->Pick(item, leg, false, now);
    if (!target) target = this->Pick(item, leg, true, now);
    if (target) return target;
    if (now >= until) {
      return Fail(ErrorCode::kNoTarget, "no target of the service takes new work",
                  item.request.Service());
    }
    SleepUntil(task, std::min(until, now + kTargetPoll));
  }
}

std::shared_ptr<TargetState> Dispatcher::Pick(const WorkItem& item, const Leg& leg, bool repeat,
                                              TimePoint now) {
  Candidates eligible;
  const auto working = this->targets.Working(item.request.Service());
  for (const auto& state : working) {
    const std::string& id = state->Description().Id();
    if (!state->Eligible(now) || item.request.Excluded().count(id) != 0 ||
        leg.avoided.count(id) != 0 || (!repeat && leg.tried.count(id) != 0)) {
      continue;
    }
    eligible.push_back(state);
  }
  if (this->crashes.Count(item.fingerprint, now) > 0) {
    const Duration own_only = kSuspectWait * (1 + this->suspect_turn());
    this->KeepApart(working, now - leg.waiting_since >= own_only, eligible);
  }
  if (eligible.empty()) return nullptr;
  PickContext context{this->zone, TypicalLatency(eligible)};
  if (leg.popular) context.home = HomeOf(item.prefix, eligible);
  return this->pick(eligible, context, this->random, now);
}

// Leaves the targets of `eligible` on which no other suspect can be: those of this instance without
// a suspect of its own. Lost targets keep their place in the division, because not all instances
// know at once that they are lost. With `share`, an instance whose targets are all out of service
// takes those of the others.
void Dispatcher::KeepApart(const Candidates& working, bool share, Candidates& eligible) const {
  std::vector<std::string> ids;
  for (const auto& state : working) ids.push_back(state->Description().Id());
  const auto foreign = [&](const auto& state) {
    return !this->suspect_target(ids, state->Description().Id());
  };
  const auto end = std::remove_if(eligible.begin(), eligible.end(), foreign);
  if (end != eligible.begin() || !share) eligible.erase(end, eligible.end());
  const auto taken = [](const auto& state) { return state->Suspects() > 0; };
  eligible.erase(std::remove_if(eligible.begin(), eligible.end(), taken), eligible.end());
}

Result<WorkResult> Dispatcher::CallTarget(Task& task, const WorkItem& item, const StreamSink& sink,
                                          Leg& leg, const std::shared_ptr<TargetState>& target) {
  if (item.request.OnDispatch()) item.request.OnDispatch()(target->Description().Id());
  const auto in_flight = target->BeginWork();
  if (this->crashes.Count(item.fingerprint, SteadyNow()) > 0) leg.suspect = target->BeginSuspect();
  Span span = this->tracer.Start("target", item.request.Trace());
  span.SetAttribute("target", target->Description().Id());
  span.SetAttribute("service", item.request.Service());
  span.SetAttribute("request_id", item.request.RequestId());
  auto result = item.kind == TargetKind::kModelEngine
                    ? this->CallModel(task, item, sink, leg, target, span)
                    : this->CallPlain(task, item, leg, target, span);
  leg.suspect.reset();
  const std::string status = result ? "ok" : ErrorCodeName(result.error().code);
  this->tracer.End(span, status);
  this->metrics.Increment("anvilcroft_target_calls_total",
                          {{"service", item.request.Service()}, {"outcome", status}});
  return result;
}

Result<WorkResult> Dispatcher::CallModel(Task& task, const WorkItem& item, const StreamSink& sink,
                                         Leg& leg, const std::shared_ptr<TargetState>& target,
                                         const Span& span) {
  const WorkRequest& request = item.request;
  const Endpoint address = target->Description().Address();
  // One id for each call: a cancel must not end another copy of the same request.
  const std::string call_id = request.RequestId() + "." + RandomHex(this->random, 8);
  TimePoint last_event = SteadyNow();
  int events = 0;
  const auto on_event = [&](Task& inner, const nlohmann::json& event) -> Result<void> {
    const TimePoint now = SteadyNow();
    target->ObserveLatency(Seconds(now - last_event), now);
    last_event = now;
    leg.suspect.reset();
    if (++events == kEventsPastDeath && !leg.acquitted && !leg.tried.empty()) {
      leg.acquitted = true;  // once, so that a request that crashes targets late is found out
      this->crashes.ClearCrashes(item.fingerprint);
    }
    if (!sink) return {};
    nlohmann::json passed = event;
    passed["request_id"] = request.RequestId();
    const auto written = sink(inner, DumpJson(passed));
    if (!written) {
      // The reader is gone; nobody needs the rest.
      leg.cancel->Cancel();
      return Fail(ErrorCode::kCancelled, written.error().message, "caller", Ran::kUnknown);
    }
    last_event = SteadyNow();
    return {};
  };
  const Duration remaining = request.Deadline() - last_event;
  const int patience = request.RequestPriority() == Priority::kLow ? kLowPrioritySilence : 1;
  const Duration silence = std::clamp<Duration>(remaining / 3, kMinSilence, kMaxSilence * patience);
  const auto options = CallOptions(request.Deadline(), silence).WithCancellation(leg.cancel);

  EngineCall call(this->http, address, call_id, span.Context());
  const auto end = call.Run(task, item.engine_body, options, leg.output, on_event);
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
    if (leg.output.Size() > 0) {
      return Fail(ErrorCode::kBadResponse, "the engine refused to resume the output", "status",
                  Ran::kUnknown);
    }
    return result.SetBody(end->body).Build();
  }
  return result.SetBody(leg.output.Body(request.RequestId())).SetSpans(leg.output.Spans()).Build();
}

Result<WorkResult> Dispatcher::CallPlain(Task& task, const WorkItem& item, Leg& leg,
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
    if (slow) silence = std::min(silence, std::max(2 * kMinSilence, kSilenceLatencies * *slow));
  }
  auto options = CallOptions(request.Deadline(), silence).WithCancellation(leg.cancel);
  // The other side may be closing an idle connection, which leaves it open whether work ran.
  if (!item.operation.repeatable) options = options.WithFreshConnection();

  const auto response = CallApp(task, this->http, address, call, options);
  const TimePoint now = SteadyNow();
  const double taken = Seconds(now - started);
  if (!response) {
    if (response.error().ran != Ran::kNo && taken > target->MeanLatency()) {
      target->ObserveLatency(taken, now);
    }
    return tl::unexpected<Error>(response.error());
  }
  target->ObserveLatency(taken, now);
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
