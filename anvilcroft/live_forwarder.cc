#include "anvilcroft/live_forwarder.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr int kTargetFailureStatus = 500;  // the only status by which a target reports a failure
// Bounds of the hedge delay. With a shorter delay than the minimum, most hedges are wasted; a limit
// of about half of the target latency leaves the second attempt enough time to meet it.
constexpr Duration kMinHedgeDelay = milliseconds(40);
constexpr double kHedgeShareOfTargetLatency = 0.45;
constexpr double kHedgeQuantile = 0.95;

}  // namespace

// The attempts of one request. Shared with the tasks of the attempts, which may outlive Serve().
struct LiveForwarder::AttemptGroup {
  struct Attempt {
    std::string target;
    TimePoint started;
    bool ended = false;                 // `result` is set
    bool processed = false;             // Serve() has evaluated `result`
    std::optional<WallMillis> sent_at;  // the first byte was written
    Duration network_delay = Duration::zero();
    Result<platform::ForwardReply> result = Fail(ErrorCode::kInternal, "the attempt has not ended");
  };

  AttemptGroup(CrashLimiter& limiter, const LiveRequest& request)
      : request(request), crashes(limiter, this->request) {}

  // When a target first began to run the request: the earliest attempt that was sent and not
  // refused. A target begins as soon as the request arrives.
  std::optional<WallMillis> BeganAt() const {
    std::optional<WallMillis> began_at;
    for (const Attempt& attempt : this->attempts) {
      if (!attempt.sent_at) continue;
      const bool refused =
          attempt.ended &&
          (attempt.result ? attempt.result->not_executed : attempt.result.error().ran == Ran::kNo);
      const WallMillis begins = *attempt.sent_at + ToMillis(attempt.network_delay);
      if (!refused && (!began_at || begins < *began_at)) began_at = begins;
    }
    return began_at;
  }

  LiveRequest request;
  RequestCrashes crashes;
  std::string service;
  std::vector<Attempt> attempts;
  std::set<std::string> tried;  // ids of targets
  Event changed;                // notified when an attempt ends or the caller disconnects
  std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
  PathQuery path;
  int active = 0;             // attempts that have not ended
  int runs = 0;               // attempts, except those counted in `refusals`
  int refusals = 0;           // attempts that the target did not run
  bool may_have_run = false;  // according to the attempts that have ended
};

LiveForwarder::LiveForwarder(Runtime& runtime, platform::EngineClient& engines,
                             RequestLimiter& limiter, CrashLimiter& crashes, TargetPool& pool,
                             Routes routes, std::string zone, uint64_t seed)
    : runtime(runtime),
      engines(engines),
      limiter(limiter),
      crashes(crashes),
      pool(pool),
      routes(std::move(routes)),
      chooser(
          pool,
          [&limiter](const TargetEntry& target, TimePoint now) {
            return limiter.NextPermit(target, now);
          },
          std::move(zone), seed) {}

Duration LiveForwarder::HedgeDelay(const ServiceRoute& route, const std::string& service) const {
  const Duration max_delay =
      std::chrono::duration_cast<Duration>(route.target_latency * kHedgeShareOfTargetLatency);
  const auto found = this->latencies.find(service);
  const auto quantile =
      found == this->latencies.end() ? std::nullopt : found->second.Quantile(kHedgeQuantile);
  if (!quantile) return std::max(max_delay, kMinHedgeDelay);
  return std::max(kMinHedgeDelay, std::min(max_delay, *quantile));
}

void LiveForwarder::StartAttempt(const std::shared_ptr<AttemptGroup>& group,
                                 const RouteChoice& choice) {
  const TargetEntry entry = choice.target->entry;
  const Duration max_permit_wait =
      choice.unlimited_left ? kShortPermitWait
                            : std::chrono::duration_cast<Duration>(
                                  kPermitWaitShare * (group->request.deadline - SteadyNow()));
  const std::size_t index = group->attempts.size();
  if (index > 0) {
    group->path.silent_target = group->attempts.front().target;
    group->path.silent_since = group->attempts.front().started;
  }
  group->attempts.emplace_back();
  group->attempts[index].target = entry.id;
  group->attempts[index].started = SteadyNow();
  group->tried.insert(entry.id);
  ++group->active;
  ++group->runs;
  this->pool.OnRequestStarted(entry.id);
  this->runtime.Spawn([this, group, entry, index, max_permit_wait](Task& task) {
    const auto end = [&](Result<platform::ForwardReply> result) {
      AttemptGroup::Attempt& attempt = group->attempts[index];
      attempt.result = std::move(result);
      attempt.ended = true;
      --group->active;
      group->changed.NotifyAll();
    };
    auto permit = this->limiter.Acquire(task, entry, CallPurpose::kRequest, max_permit_wait);
    const TimePoint started = SteadyNow();
    if (!permit) {
      this->pool.OnRequestFinished(entry.id, TargetOutcome::kAbandoned, Duration::zero(), started);
      end(tl::unexpected<Error>(permit.error()));
      return;
    }
    const Duration time_left = group->request.deadline - started;
    const CallOptions options = CallOptions(group->request.deadline, time_left)
                                    .WithCancellation(group->cancellation)
                                    .WithSendGuard([this, group, entry, index] {
                                      AttemptGroup::Attempt& attempt = group->attempts[index];
                                      attempt.sent_at = WallNow();
                                      attempt.network_delay = this->engines.NetworkDelay(entry);
                                      const auto& on_begin = group->request.on_begin;
                                      if (on_begin) on_begin(*group->BeganAt(), false);
                                      return true;
                                    });
    auto result = this->engines.Forward(task, std::move(*permit), entry, group->request.message,
                                        time_left, options, group->path);
    const TimePoint ended = SteadyNow();
    // The first connection to a target is measured with its answer.
    group->attempts[index].network_delay = this->engines.NetworkDelay(entry);
    TargetOutcome outcome = TargetOutcome::kServed;
    if (!result) {
      outcome = group->cancellation->Cancelled()                    ? TargetOutcome::kAbandoned
                : result.error().code == ErrorCode::kBadResponse    ? TargetOutcome::kFailed
                : result.error().code == ErrorCode::kConnectionLost ? TargetOutcome::kFailed
                                                                    : TargetOutcome::kNoResponse;
    } else if (result->not_executed) {
      outcome = TargetOutcome::kRefused;
    } else if (result->status >= 500) {
      outcome = TargetOutcome::kFailed;
    } else {
      this->latencies[entry.service].Add(ended - started);
    }
    if (result && result->load) this->pool.OnLoadReport(entry.id, *result->load, ended);
    this->pool.OnRequestFinished(entry.id, outcome, ended - started, ended);
    if (!result && outcome == TargetOutcome::kFailed &&
        result.error().code == ErrorCode::kConnectionLost) {
      group->crashes.OnConnectionLost(task, entry, result.error());
    }
    end(std::move(result));
  });
}

LiveOutcome LiveForwarder::Serve(Task& task, const LiveRequest& request) {
  auto group = std::make_shared<AttemptGroup>(this->crashes, request);
  this->hedges.OnRequest();
  std::shared_ptr<void> disconnect_hook;
  if (request.caller_disconnected) {
    const std::weak_ptr<AttemptGroup> weak = group;
    disconnect_hook = request.caller_disconnected->OnCancel([weak] {
      if (const auto locked = weak.lock()) {
        locked->cancellation->Cancel();
        locked->changed.NotifyAll();
      }
    });
  }
  LiveOutcome outcome;
  std::size_t index = 0;
  std::optional<platform::ForwardReply> failure;
  TimePoint hedge_at = TimePoint::max();      // max: no second attempt is planned
  std::optional<Duration> crash_retry_after;  // set if the request is refused for its crashes
  const auto finish = [&](LiveOutcome::Kind kind, std::string reason) {
    group->cancellation->Cancel();
    if (kind == LiveOutcome::Kind::kNotRun) group->crashes.OnNotRun();
    outcome.kind = kind;
    outcome.reason = std::move(reason);
    outcome.attempts = static_cast<int>(group->attempts.size());
    if (kind != LiveOutcome::Kind::kNotRun) outcome.began_at = group->BeganAt();
    return outcome;
  };
  while (true) {
    if (request.caller_disconnected && request.caller_disconnected->Cancelled()) {
      return finish(LiveOutcome::Kind::kDisconnected, "the caller disconnected");
    }
    // Evaluates the attempts that have ended since the last iteration.
    for (index = 0; index < group->attempts.size(); ++index) {
      AttemptGroup::Attempt& attempt = group->attempts[index];
      if (!attempt.ended || attempt.processed) continue;
      attempt.processed = true;
      outcome.target = attempt.target;
      if (attempt.result && attempt.result->not_executed) {
        --group->runs;
        ++group->refusals;
        continue;
      }
      const bool unsigned_success =
          attempt.result && attempt.result->status / 100 == 2 && attempt.result->signature.empty();
      if (attempt.result && attempt.result->status < 500 && !unsigned_success) {
        if (!attempt.result->signature.empty()) group->crashes.OnCompleted();
        outcome.reply = std::move(*attempt.result);
        return finish(LiveOutcome::Kind::kAnswered, "");
      }
      if (attempt.result && !unsigned_success) {
        group->may_have_run = true;
        if (attempt.result->status == kTargetFailureStatus) ++outcome.failures;
        failure = std::move(*attempt.result);
        continue;
      }
      if (!attempt.result && attempt.result.error().ran == Ran::kNo) {
        --group->runs;
        // The target has not been asked, so the next choice costs it nothing.
        if (attempt.result.error().part == RequestLimiter::kErrorPart) continue;
        ++group->refusals;
        continue;
      }
      group->may_have_run = true;
    }
    const TimePoint now = SteadyNow();
    const auto routes = this->routes();
    const ServiceRoute* route = routes ? routes->Match(request.host, request.path) : nullptr;
    if (route == nullptr && group->attempts.empty()) {
      return finish(LiveOutcome::Kind::kNoRoute, "no route matches the request");
    }
    if (now + kMinAttemptTime >= request.deadline) {
      const bool run = group->may_have_run || group->active > 0;
      return finish(run ? LiveOutcome::Kind::kTimedOut : LiveOutcome::Kind::kNotRun,
                    "the deadline of the request passed");
    }
    const bool repeatable = route != nullptr && route->Repeatable();
    const bool may_start = route != nullptr && group->runs < route->max_targets &&
                           group->refusals < kMaxRefusals &&
                           (repeatable || (!group->may_have_run && group->active == 0));
    const bool hedge_due = group->active > 0 && now >= hedge_at;
    if (may_start && (group->active == 0 ||
                      (hedge_due && group->crashes.MayHedge() && this->hedges.TryConsume()))) {
      const bool hedge = group->active > 0;
      if (!hedge) {
        const CrashAdmission admission = group->crashes.Admit(task);
        if (!admission.allowed) {
          crash_retry_after = admission.retry_after;
          break;
        }
      }
      const auto untried = [&group](const TargetEntry& target) {
        return group->tried.count(target.id) == 0;
      };
      group->path.verify = !repeatable;
      group->path.id_repeats = request.id_repeats;
      const RouteChoice choice = this->chooser.Choose(*route, untried, hedge, now);
      if (choice.target != nullptr) {
        hedge_at = now + this->HedgeDelay(*route, choice.target->entry.service);
        this->StartAttempt(group, choice);
      } else if (group->active == 0) {
        break;
      } else {
        hedge_at = TimePoint::max();
      }
    } else if (group->active == 0) {
      break;
    } else if (hedge_due) {
      hedge_at = TimePoint::max();  // no further attempt is allowed, or the hedge budget is used up
    }
    const TimePoint wait_until =
        may_start ? std::min(hedge_at, request.deadline) : request.deadline;
    group->changed.WaitUntil(task, wait_until);
  }
  if (failure) {
    outcome.reply = std::move(*failure);
    return finish(LiveOutcome::Kind::kAnswered, "the target returned a server error");
  }
  if (group->may_have_run) {
    return finish(LiveOutcome::Kind::kUnknown, "no target returned a complete response");
  }
  if (crash_retry_after) {
    outcome.retry_after = crash_retry_after;
    return finish(LiveOutcome::Kind::kNotRun, kCrashReason);
  }
  outcome.retry_after = this->chooser.NextPermit(group->tried, SteadyNow());
  return finish(LiveOutcome::Kind::kNotRun, group->attempts.empty() ? "no target is available"
                                            : outcome.retry_after
                                                ? "the targets take no more requests at present"
                                                : "no target ran the request");
}

}  // namespace anvilcroft
