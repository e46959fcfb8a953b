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

platform::StreamOutcome LiveStreamer::RunAttempt(Task& task, const LiveRequest& request,
                                                 const ServiceRoute& route,
                                                 const TargetEntry& target,
                                                 platform::StreamPosition& position,
                                                 const platform::StreamHooks& hooks) {
  const TimePoint started = SteadyNow();
  const Duration left = request.deadline - started;
  const Duration silence =
      route.resumable
          ? std::max<Duration>(kMinIdleTimeout, kIdleTimeoutFactor * route.target_latency)
          : left;
  // An idle connection that the target has just closed would leave open whether the request ran.
  const CallOptions options = CallOptions(request.deadline, std::min(silence, left))
                                  .WithCancellation(request.caller_disconnected)
                                  .WithFreshConnection();
  this->pool.OnRequestStarted(target.id);
  auto outcome =
      this->engines.ForwardStream(task, target, request.message, options, position, hooks);
  const TimePoint now = SteadyNow();
  const bool gone = request.caller_disconnected && request.caller_disconnected->Cancelled();
  if (outcome.reply.load) this->pool.OnLoadReport(target.id, *outcome.reply.load, now);
  this->pool.OnRequestFinished(
      target.id, gone ? TargetOutcome::kAbandoned : ToTargetOutcome(outcome), now - started, now);
  return outcome;
}

LiveOutcome LiveStreamer::Serve(Task& task, const LiveRequest& request, HttpReply& reply) {
  LiveOutcome result;
  platform::StreamPosition position{request.resume_after, 0};
  bool begun = false;  // the caller has the head of the response
  bool may_have_run = false;
  int runs = 0;
  int refusals = 0;
  std::set<std::string> tried;
  std::optional<platform::ForwardReply> failure;
  platform::StreamHooks hooks;
  hooks.on_begin = [&](const HttpHeaders& headers) -> Result<void> {
    if (std::exchange(begun, true)) return {};  // the fields are those of the first target
    return reply.BeginStream(task, 200, headers);
  };
  hooks.on_event = [&](const platform::StreamEvent& event) {
    return reply.Write(task, event.bytes);
  };
  const auto finish = [&](LiveOutcome::Kind kind, std::string reason) {
    result.kind =
        begun && kind != LiveOutcome::Kind::kStreamed ? LiveOutcome::Kind::kInterrupted : kind;
    result.reason = std::move(reason);
    return result;
  };
  while (true) {
    const TimePoint now = SteadyNow();
    const auto table = this->routes();
    const ServiceRoute* found = table ? table->Match(request.host, request.path) : nullptr;
    if (found == nullptr) {
      return finish(may_have_run ? LiveOutcome::Kind::kUnknown : LiveOutcome::Kind::kNoRoute,
                    "no route");
    }
    const ServiceRoute route = *found;
    if (request.caller_disconnected && request.caller_disconnected->Cancelled()) {
      return finish(LiveOutcome::Kind::kCallerDisconnected, "the caller closed its connection");
    }
    if (now + kMinAttemptTime >= request.deadline) {
      return finish(may_have_run ? LiveOutcome::Kind::kTimedOut : LiveOutcome::Kind::kNotRun,
                    "the deadline passed");
    }
    const bool may_start =
        runs < route.max_targets && refusals < kMaxRefusals && (!may_have_run || route.resumable);
    const PoolTarget* target = may_start ? this->chooser.Choose(route, tried, now) : nullptr;
    if (target == nullptr && may_start && route.resumable && tried.size() > 1) {
      // All have been tried: one that broke off earlier may serve again.
      tried = {result.target};
      target = this->chooser.Choose(route, tried, now);
    }
    if (target == nullptr) break;
    const TargetEntry entry = target->entry;
    tried.insert(entry.id);
    result.target = entry.id;
    ++result.attempts;
    auto outcome = this->RunAttempt(task, request, route, entry, position, hooks);
    switch (outcome.kind) {
      case Kind::kComplete:
        if (!reply.End(task))
          return finish(LiveOutcome::Kind::kCallerDisconnected, "the caller is gone");
        return finish(LiveOutcome::Kind::kStreamed, "");
      case Kind::kHookFailed:
        return finish(LiveOutcome::Kind::kCallerDisconnected, outcome.reason);
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
    return finish(LiveOutcome::Kind::kAnswered, "the target failed");
  }
  if (may_have_run) return finish(LiveOutcome::Kind::kUnknown, result.reason);
  return finish(LiveOutcome::Kind::kNotRun, tried.empty() ? "no target" : "no target ran it");
}

}  // namespace anvilcroft
