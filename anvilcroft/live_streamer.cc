#include "anvilcroft/live_streamer.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace anvilcroft {
namespace {

using Kind = platform::StreamOutcome::Kind;

TargetOutcome ToTargetOutcome(const platform::StreamOutcome& outcome) {
  switch (outcome.kind) {
    case Kind::kComplete:
      return TargetOutcome::kServed;
    case Kind::kAnswered:
      return outcome.reply.status >= 500 ? TargetOutcome::kFailed : TargetOutcome::kServed;
    case Kind::kNotRun:
      return TargetOutcome::kRefused;
    case Kind::kHookFailed:
      return TargetOutcome::kAbandoned;
    case Kind::kBroken:
      break;
  }
  return TargetOutcome::kFailed;
}

}  // namespace

platform::StreamOutcome LiveStreamer::RunAttempt(Task& task, SendPermit permit,
                                                 const LiveRequest& request,
                                                 const ServiceRoute& route,
                                                 const TargetEntry& target,
                                                 platform::StreamPosition& position,
                                                 const platform::StreamHooks& hooks) {
  const TimePoint started = SteadyNow();
  const Duration time_left = request.deadline - started;
  const Duration idle_timeout =
      route.resumable
          ? std::max<Duration>(kMinIdleTimeout, kIdleTimeoutFactor * route.target_latency)
          : time_left;
  // If the target has just closed a reused connection, it is unknown whether the request ran.
  const CallOptions options = CallOptions(request.deadline, std::min(idle_timeout, time_left))
                                  .WithCancellation(request.caller_disconnected)
                                  .WithFreshConnection();
  this->pool.OnRequestStarted(target.id);
  auto outcome = this->engines.ForwardStream(task, std::move(permit), target, request.message,
                                             options, position, hooks);
  const TimePoint now = SteadyNow();
  const bool disconnected = request.caller_disconnected && request.caller_disconnected->Cancelled();
  if (outcome.reply.load) this->pool.OnLoadReport(target.id, *outcome.reply.load, now);
  this->pool.OnRequestFinished(target.id,
                               disconnected ? TargetOutcome::kAbandoned : ToTargetOutcome(outcome),
                               now - started, now);
  return outcome;
}

LiveOutcome LiveStreamer::Serve(Task& task, const LiveRequest& request, HttpReply& reply) {
  LiveOutcome result;
  platform::StreamPosition position{request.resume_after, 0};
  bool response_started = false;  // the status and headers have been sent
  bool may_have_run = false;
  int runs = 0;
  int refusals = 0;
  std::set<std::string> tried;
  std::set<std::string> denied;  // targets that take no more requests at present
  std::optional<platform::ForwardReply> failure;
  platform::StreamHooks hooks;
  hooks.on_begin = [&](const HttpHeaders& headers) -> Result<void> {
    if (std::exchange(response_started, true)) return {};  // the headers of the first target stay
    return reply.BeginStream(task, 200, headers);
  };
  hooks.on_event = [&](const platform::StreamEvent& event) {
    return reply.Write(task, event.bytes);
  };
  const auto finish = [&](LiveOutcome::Kind kind, std::string reason) {
    result.kind = response_started && kind != LiveOutcome::Kind::kStreamed
                      ? LiveOutcome::Kind::kInterrupted
                      : kind;
    result.reason = std::move(reason);
    return result;
  };
  while (true) {
    const TimePoint now = SteadyNow();
    const auto table = this->routes();
    const ServiceRoute* found = table ? table->Match(request.host, request.path) : nullptr;
    if (found == nullptr) {
      return finish(may_have_run ? LiveOutcome::Kind::kUnknown : LiveOutcome::Kind::kNoRoute,
                    "no route matches the request");
    }
    const ServiceRoute route = *found;
    if (request.caller_disconnected && request.caller_disconnected->Cancelled()) {
      return finish(LiveOutcome::Kind::kDisconnected, "the caller disconnected");
    }
    if (now + kMinAttemptTime >= request.deadline) {
      return finish(may_have_run ? LiveOutcome::Kind::kTimedOut : LiveOutcome::Kind::kNotRun,
                    "the deadline of the request passed");
    }
    const bool may_start =
        runs < route.max_targets && refusals < kMaxRefusals && (!may_have_run || route.resumable);
    RouteChoice choice;
    if (may_start) choice = this->chooser.Choose(route, tried, false, now);
    if (choice.target == nullptr && may_start && route.resumable && tried.size() > 1 &&
        denied.empty()) {
      // All targets have been tried. All but the latest are tried again, since their failure may
      // have been temporary.
      tried = {result.target};
      choice = this->chooser.Choose(route, tried, false, now);
    }
    if (choice.target == nullptr) break;
    const TargetEntry entry = choice.target->entry;
    tried.insert(entry.id);
    const Duration max_permit_wait =
        choice.unlimited_left
            ? kShortPermitWait
            : std::chrono::duration_cast<Duration>(kPermitWaitShare * (request.deadline - now));
    auto permit = this->limiter.Acquire(task, entry, CallPurpose::kStream, max_permit_wait);
    if (!permit) {
      denied.insert(entry.id);
      result.reason = permit.error().message;
      continue;
    }
    result.target = entry.id;
    ++result.attempts;
    auto outcome =
        this->RunAttempt(task, std::move(*permit), request, route, entry, position, hooks);
    if (position.last_event > result.last_event) result.software = entry.software;
    result.last_event = position.last_event;
    switch (outcome.kind) {
      case Kind::kComplete:
        if (!reply.End(task)) return finish(LiveOutcome::Kind::kDisconnected, "the write failed");
        return finish(LiveOutcome::Kind::kStreamed, "");
      case Kind::kHookFailed:
        return finish(LiveOutcome::Kind::kDisconnected, outcome.reason);
      case Kind::kNotRun:
        ++refusals;
        break;
      case Kind::kAnswered:
        ++runs;
        may_have_run = true;
        if (outcome.reply.status < 500) {
          result.reply = std::move(outcome.reply);
          return finish(LiveOutcome::Kind::kAnswered, "");
        }
        ++result.failures;
        failure = std::move(outcome.reply);
        break;
      case Kind::kBroken:
        ++runs;
        may_have_run = true;
        break;
    }
    result.reason = outcome.reason;
  }
  if (failure) {
    result.reply = std::move(*failure);
    return finish(LiveOutcome::Kind::kAnswered, "the target returned a server error");
  }
  if (may_have_run) return finish(LiveOutcome::Kind::kUnknown, result.reason);
  result.retry_after = this->chooser.NextPermit(denied, SteadyNow());
  return finish(LiveOutcome::Kind::kNotRun,
                tried.empty() ? "no target is available" : "no target ran the request");
}

}  // namespace anvilcroft
