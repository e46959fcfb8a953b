#include "anvilcroft/live_forwarder.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "anvilcroft/event.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr int kTargetFailed = 500;  // the only status by which a target says that it failed
// Bounds of the wait before a second attempt: below the lower one most second attempts are in
// vain, and half of the target latency leaves the second attempt its chance.
constexpr Duration kMinHedgeDelay = milliseconds(40);
constexpr double kHedgeShareOfTargetLatency = 0.45;
constexpr double kHedgeQuantile = 0.95;

}  // namespace

// The attempts of one request. Shared with the attempts' tasks, which may end after it.
struct LiveForwarder::AttemptGroup {
  struct Attempt {
    std::string target;
    bool ended = false;
    bool sent = false;  // may have run
    Result<platform::ForwardReply> result = Fail(ErrorCode::kInternal, "not ended");
  };

  LiveRequest request;
  std::string service;
  std::vector<Attempt> attempts;
  std::set<std::string> tried;
  Event changed;
  std::shared_ptr<Cancellation> over = std::make_shared<Cancellation>();
  int active = 0;
  int runs = 0;      // attempts that were not refused
  int refusals = 0;  // attempts that the target did not run
  bool may_have_run = false;
};

LiveForwarder::LiveForwarder(Runtime& runtime, platform::EngineClient& engines, TargetPool& pool,
                             Routes routes, std::string zone, uint64_t seed)
    : runtime(runtime),
      engines(engines),
      pool(pool),
      routes(std::move(routes)),
      chooser(pool, std::move(zone), seed) {}

Duration LiveForwarder::HedgeDelay(const ServiceRoute& route, const std::string& service) const {
  const Duration most =
      std::chrono::duration_cast<Duration>(route.target_latency * kHedgeShareOfTargetLatency);
  const auto found = this->latencies.find(service);
  const auto usual =
      found == this->latencies.end() ? std::nullopt : found->second.Quantile(kHedgeQuantile);
  if (!usual) return std::max(most, kMinHedgeDelay);
  return std::max(kMinHedgeDelay, std::min(most, *usual));
}

void LiveForwarder::Launch(const std::shared_ptr<AttemptGroup>& race, const PoolTarget& target) {
  const TargetEntry entry = target.entry;
  const std::size_t index = race->attempts.size();
  race->attempts.emplace_back();
  race->attempts[index].target = entry.id;
  race->tried.insert(entry.id);
  ++race->active;
  ++race->runs;
  this->pool.OnRequestStarted(entry.id);
  this->runtime.Spawn([this, race, entry, index](Task& task) {
    const TimePoint started = SteadyNow();
    const Duration left = race->request.deadline - started;
    CallOptions options = CallOptions(race->request.deadline, left).WithCancellation(race->over);
    if (race->request.sent_before) options = options.WithFreshConnection();
    auto result = this->engines.Forward(task, entry, race->request.message, left, options);
    const TimePoint ended = SteadyNow();
    TargetOutcome outcome = TargetOutcome::kServed;
    if (!result) {
      outcome = race->over->Cancelled()                             ? TargetOutcome::kAbandoned
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
    AttemptGroup::Attempt& attempt = race->attempts[index];
    attempt.result = std::move(result);
    attempt.ended = true;
    --race->active;
    race->changed.NotifyAll();
  });
}

LiveOutcome LiveForwarder::Serve(Task& task, const LiveRequest& request) {
  auto race = std::make_shared<AttemptGroup>();
  race->request = request;
  this->hedges.OnRequest();
  std::shared_ptr<void> on_gone;
  if (request.caller_disconnected) {
    const std::weak_ptr<AttemptGroup> weak = race;
    on_gone = request.caller_disconnected->OnCancel([weak] {
      if (const auto open = weak.lock()) {
        open->over->Cancel();
        open->changed.NotifyAll();
      }
    });
  }
  LiveOutcome outcome;
  std::size_t seen = 0;
  std::optional<platform::ForwardReply> failure;
  TimePoint hedge_at = TimePoint::max();  // max: no second attempt is planned
  const auto finish = [&](LiveOutcome::Kind kind, std::string reason) {
    race->over->Cancel();
    outcome.kind = kind;
    outcome.reason = std::move(reason);
    outcome.attempts = static_cast<int>(race->attempts.size());
    return outcome;
  };
  while (true) {
    if (request.caller_disconnected && request.caller_disconnected->Cancelled()) {
      return finish(LiveOutcome::Kind::kCallerDisconnected, "the caller closed its connection");
    }
    // Takes the results of attempts that have ended.
    for (seen = 0; seen < race->attempts.size(); ++seen) {
      AttemptGroup::Attempt& attempt = race->attempts[seen];
      if (!attempt.ended || attempt.sent) continue;
      attempt.sent = true;
      outcome.target = attempt.target;
      if (attempt.result && attempt.result->not_executed) {
        --race->runs;
        ++race->refusals;
        continue;
      }
      const bool unsigned_success =
          attempt.result && attempt.result->status / 100 == 2 && attempt.result->signature.empty();
      if (attempt.result && attempt.result->status < 500 && !unsigned_success) {
        outcome.reply = std::move(*attempt.result);
        return finish(LiveOutcome::Kind::kAnswered, "");
      }
      if (attempt.result && !unsigned_success) {
        race->may_have_run = true;
        if (attempt.result->status == kTargetFailed) ++outcome.failures;
        failure = std::move(*attempt.result);
        continue;
      }
      if (!attempt.result && attempt.result.error().ran == Ran::kNo) {
        --race->runs;
        ++race->refusals;
        continue;
      }
      race->may_have_run = true;
    }
    const TimePoint now = SteadyNow();
    const auto routes = this->routes();
    const ServiceRoute* route = routes ? routes->Match(request.host, request.path) : nullptr;
    if (route == nullptr && race->attempts.empty()) {
      return finish(LiveOutcome::Kind::kNoRoute, "no route");
    }
    if (now + kMinAttemptTime >= request.deadline) {
      const bool run = race->may_have_run || race->active > 0;
      return finish(run ? LiveOutcome::Kind::kTimedOut : LiveOutcome::Kind::kNotRun,
                    "the deadline passed");
    }
    const bool repeatable = route != nullptr && route->Repeatable();
    const bool may_start = route != nullptr && race->runs < route->max_targets &&
                           race->refusals < kMaxRefusals &&
                           (repeatable || (!race->may_have_run && race->active == 0));
    const bool hedge_due = race->active > 0 && now >= hedge_at;
    if (may_start && (race->active == 0 || (hedge_due && this->hedges.TryTake()))) {
      if (const PoolTarget* target = this->chooser.Choose(*route, race->tried, now)) {
        hedge_at = now + this->HedgeDelay(*route, target->entry.service);
        this->Launch(race, *target);
      } else if (race->active == 0) {
        break;
      } else {
        hedge_at = TimePoint::max();
      }
    } else if (race->active == 0) {
      break;
    } else if (hedge_due) {
      hedge_at = TimePoint::max();  // no attempt is left, or the budget is spent
    }
    const TimePoint wake = may_start ? std::min(hedge_at, request.deadline) : request.deadline;
    race->changed.WaitUntil(task, wake);
  }
  if (failure) {
    outcome.reply = std::move(*failure);
    return finish(LiveOutcome::Kind::kAnswered, "the target failed");
  }
  if (race->may_have_run) {
    return finish(LiveOutcome::Kind::kUnknown, "no target gave a whole answer");
  }
  return finish(LiveOutcome::Kind::kNotRun,
                race->attempts.empty() ? "no target" : "no target ran it");
}

}  // namespace anvilcroft
