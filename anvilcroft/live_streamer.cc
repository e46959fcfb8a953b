#include "anvilcroft/live_streamer.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace anvilcroft {
namespace {

using Kind = platform::StreamOutcome::Kind;

// Retry-After of a stream that can't be taken up at present: targets and the store return within
// seconds.
constexpr Duration kUnknownOriginRetryAfter = milliseconds(500);

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
                                                 const TargetEntry& target, const PathQuery& path,
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
                                             options, path, position, hooks);
  const TimePoint now = SteadyNow();
  const bool disconnected = request.caller_disconnected && request.caller_disconnected->Cancelled();
  if (outcome.reply.load) this->pool.OnLoadReport(target.id, *outcome.reply.load, now);
  this->pool.OnRequestFinished(target.id,
                               disconnected ? TargetOutcome::kAbandoned : ToTargetOutcome(outcome),
                               now - started, now);
  return outcome;
}

// What is known about one request while it is served.
struct LiveStreamer::Progress {
  explicit Progress(const LiveRequest& request) : position{request.resume_after, 0} {}

  platform::StreamPosition position;
  // Those that can continue the events that the caller has; nullopt: it has none.
  std::optional<std::vector<StreamOrigin>> origins;
  // The record of the origin, if one has been started.
  std::shared_ptr<OriginWrite> record;
  bool record_failed = false;  // nothing may be forwarded
  bool implied_only = false;  // records can't be written, so only such origins may begin the stream
  Duration caller_time = Duration::zero();
  std::string last_target;
  PathQuery path;
  std::set<std::string> tried;
  std::set<std::string> denied;   // targets that take no more requests at present
  bool response_started = false;  // the status and headers have been sent
  bool may_have_run = false;
  int runs = 0;
  int refusals = 0;
};

Result<void> LiveStreamer::FindOrigin(Task& task, const LiveRequest& request, Progress& progress) {
  progress.caller_time = request.caller_time;
  progress.implied_only = !this->origins.CanRecord();
  if (request.resume_after == 0) return {};
  const auto table = this->routes();
  const ServiceRoute* route = table ? table->Match(request.host, request.path) : nullptr;
  if (route == nullptr || !route->resumable || route->split.Active().empty()) return {};
  auto origins = this->origins.Find(task, request.resumes, route->split);
  if (!origins) return tl::unexpected<Error>(origins.error());
  progress.origins = std::move(*origins);
  return {};
}

RouteChoice LiveStreamer::ChooseTarget(const ServiceRoute& route, Progress& progress,
                                       TimePoint now) {
  const auto usable = [&](const TargetEntry& target) {
    if (progress.tried.count(target.id) != 0) return false;
    const StreamOrigin origin{target.service, target.software};
    if (progress.origins) {
      return std::find(progress.origins->begin(), progress.origins->end(), origin) !=
             progress.origins->end();
    }
    return !route.resumable || !progress.implied_only ||
           this->origins.IsDefault(origin, progress.caller_time);
  };
  RouteChoice choice = this->chooser.Choose(route, usable, false, now);
  if (choice.target == nullptr && route.resumable && !progress.tried.empty() &&
      progress.denied.empty()) {
    // All targets have been tried, and their failures may have been temporary. The latest one is
    // tried again only if it is the only one that can continue the stream.
    progress.tried = {progress.last_target};
    choice = this->chooser.Choose(route, usable, false, now);
    if (choice.target == nullptr && progress.origins) {
      progress.tried.clear();
      choice = this->chooser.Choose(route, usable, false, now);
    }
  }
  return choice;
}

LiveOutcome LiveStreamer::Serve(Task& task, const LiveRequest& request, HttpReply& reply) {
  LiveOutcome result;
  Progress progress(request);
  RequestCrashes crashes(this->crashes, request);
  std::optional<platform::ForwardReply> failure;
  std::optional<Duration> crash_retry_after;  // set if the request is refused for its crashes
  const auto finish = [&](LiveOutcome::Kind kind, std::string reason) {
    if (kind == LiveOutcome::Kind::kNotRun) crashes.OnNotRun();
    result.kind = progress.response_started && kind != LiveOutcome::Kind::kStreamed
                      ? LiveOutcome::Kind::kInterrupted
                      : kind;
    result.reason = std::move(reason);
    return result;
  };
  if (const auto found = this->FindOrigin(task, request, progress); !found) {
    result.retry_after = kUnknownOriginRetryAfter;
    return finish(LiveOutcome::Kind::kNotRun, found.error().message);
  }
  platform::StreamHooks hooks;
  hooks.on_begin = [&](const HttpHeaders& headers) -> Result<void> {
    if (progress.record &&
        this->origins.Confirm(task, *progress.record) != OriginWrite::State::kConfirmed) {
      progress.record_failed = true;
      return Fail(ErrorCode::kStoreUnavailable, "the software of the stream is not recorded");
    }
    // The headers of the first target stay.
    if (std::exchange(progress.response_started, true)) return {};
    return reply.BeginStream(task, 200, headers);
  };
  TargetEntry entry;
  hooks.on_event = [&](const platform::StreamEvent& event) {
    if (!progress.origins) progress.origins = {{entry.service, entry.software}};
    if (!result.began_at) {
      result.began_at = WallNow() - ToMillis(this->engines.NetworkDelay(entry));
      if (request.on_begin) request.on_begin(*result.began_at, true);
    }
    return reply.Write(task, event.bytes);
  };
  while (true) {
    const TimePoint now = SteadyNow();
    const auto table = this->routes();
    const ServiceRoute* found = table ? table->Match(request.host, request.path) : nullptr;
    if (found == nullptr) {
      return finish(
          progress.may_have_run ? LiveOutcome::Kind::kUnknown : LiveOutcome::Kind::kNoRoute,
          "no route matches the request");
    }
    const ServiceRoute route = *found;
    if (request.caller_disconnected && request.caller_disconnected->Cancelled()) {
      return finish(LiveOutcome::Kind::kDisconnected, "the caller disconnected");
    }
    if (now + kMinAttemptTime >= request.deadline) {
      return finish(
          progress.may_have_run ? LiveOutcome::Kind::kTimedOut : LiveOutcome::Kind::kNotRun,
          "the deadline of the request passed");
    }
    const bool may_start = progress.runs < route.max_targets && progress.refusals < kMaxRefusals &&
                           (!progress.may_have_run || route.resumable);
    if (!may_start) break;
    const CrashAdmission admission = crashes.Admit(task);
    if (!admission.allowed) {
      crash_retry_after = admission.retry_after;
      result.reason = kCrashReason;
      break;
    }
    const RouteChoice choice = this->ChooseTarget(route, progress, now);
    if (choice.target == nullptr) break;
    entry = choice.target->entry;
    progress.tried.insert(entry.id);
    const Duration max_permit_wait =
        choice.unlimited_left
            ? kShortPermitWait
            : std::chrono::duration_cast<Duration>(kPermitWaitShare * (request.deadline - now));
    auto permit = this->limiter.Acquire(task, entry, CallPurpose::kStream, max_permit_wait);
    if (!permit) {
      progress.denied.insert(entry.id);
      result.reason = permit.error().message;
      continue;
    }
    progress.last_target = result.target = entry.id;
    ++result.attempts;
    const StreamOrigin origin{entry.service, entry.software};
    const bool recorded = progress.record && progress.record->origin == origin;
    // While records can't be written, a stream without one may begin, but on a route whose services
    // have different versions it can't be taken up.
    const bool implied = progress.implied_only
                             ? this->origins.IsDefault(origin, request.caller_time)
                             : this->origins.Implied(origin, route.split, request.caller_time);
    if (!progress.origins && route.resumable && !recorded && (progress.record || !implied)) {
      progress.record = this->origins.StartRecord(request.message.id, origin, request.caller_time,
                                                  progress.record, SteadyNow());
    }
    const TimePoint started = SteadyNow();
    auto outcome = this->RunAttempt(task, std::move(*permit), request, route, entry, progress.path,
                                    progress.position, hooks);
    if (progress.path.silent_target.empty()) {
      progress.path.silent_target = entry.id;
      progress.path.silent_since = started;
    }
    if (progress.position.last_event > result.last_event) result.software = entry.software;
    result.last_event = progress.position.last_event;
    switch (outcome.kind) {
      case Kind::kComplete:
        crashes.OnCompleted();
        if (!reply.End(task)) return finish(LiveOutcome::Kind::kDisconnected, "the write failed");
        return finish(LiveOutcome::Kind::kStreamed, "");
      case Kind::kHookFailed:
        if (!progress.record_failed) {
          return finish(LiveOutcome::Kind::kDisconnected, outcome.reason);
        }
        // A record that may still be written would speak against any other software.
        if (progress.record->state != OriginWrite::State::kNotWritten) {
          return finish(LiveOutcome::Kind::kUnknown, "the software of the stream is not recorded");
        }
        progress.record = nullptr;
        progress.record_failed = false;
        progress.implied_only = true;
        progress.may_have_run = true;
        ++progress.runs;
        break;
      case Kind::kNotRun:
        ++progress.refusals;
        break;
      case Kind::kAnswered:
        ++progress.runs;
        progress.may_have_run = true;
        if (outcome.reply.status < 500) {
          result.reply = std::move(outcome.reply);
          return finish(LiveOutcome::Kind::kAnswered, "");
        }
        ++result.failures;
        failure = std::move(outcome.reply);
        break;
      case Kind::kBroken:
        ++progress.runs;
        progress.may_have_run = true;
        if (outcome.lost) crashes.OnConnectionLost(task, entry, *outcome.lost);
        break;
    }
    result.reason = outcome.reason;
    // The next record of the attempt replaces this one, so it must be known how it ended.
    if (progress.record) this->origins.Confirm(task, *progress.record);
  }
  if (failure) {
    result.reply = std::move(*failure);
    return finish(LiveOutcome::Kind::kAnswered, "the target returned a server error");
  }
  if (progress.may_have_run) return finish(LiveOutcome::Kind::kUnknown, result.reason);
  if (crash_retry_after) {
    result.retry_after = crash_retry_after;
    return finish(LiveOutcome::Kind::kNotRun, kCrashReason);
  }
  result.retry_after = this->chooser.NextPermit(progress.denied, SteadyNow());
  if (progress.origins && progress.tried.empty()) {
    result.retry_after = kUnknownOriginRetryAfter;
    return finish(LiveOutcome::Kind::kNotRun,
                  "no target has the software version that began the stream");
  }
  return finish(LiveOutcome::Kind::kNotRun,
                progress.tried.empty() ? "no target is available" : "no target ran the request");
}

}  // namespace anvilcroft
