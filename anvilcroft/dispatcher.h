#ifndef ANVILCROFT_DISPATCHER_H_
#define ANVILCROFT_DISPATCHER_H_

// Runs admitted work at targets: picks one, calls it, and on failure tries again as far as the
// work's deadline, its repeatability and the retry budget allow.
//
// Model requests are repeatable: a broken stream is resumed on another engine from the tokens that
// came, and the spans of all engines are joined. Repeatable short work that is not streamed is
// hedged: after the 95th percentile of the latencies seen here a second copy starts on another
// target, the first whole answer wins and the other copy is cancelled.
//
// All requests that run on a target when it dies are suspected of it. Suspects run on separate
// targets until their first sign of progress, also across instances, so that the one that crashes
// targets does not take the others with it a second time and get them refused. A suspect whose
// output grows past the point where its target died is no longer one.
//
// Work that may not be repeated is dispatched once; another target is tried only if no connection
// was made.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/crash_guard.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/latency_window.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/prefix_homes.h"
#include "anvilcroft/retry_budget.h"
#include "anvilcroft/stream_sink.h"
#include "anvilcroft/target_judge.h"
#include "anvilcroft/target_picker.h"
#include "anvilcroft/target_table.h"
#include "anvilcroft/tracer.h"
#include "anvilcroft/work_item.h"
#include "anvilcroft/work_result.h"

namespace anvilcroft {

class Dispatcher {
 public:
  class Builder;

  // Whether this instance runs suspects on `target`, one of the `targets` of its service.
  using SuspectTargetHook =
      std::function<bool(const std::vector<std::string>& targets, const std::string& target)>;

  // Which of the turns of kSuspectWait this instance has to run suspects on others' targets, from
  // 0.
  using SuspectTurnHook = std::function<int()>;

  // Extra work allowed for each request, and how much of it can be saved up. The saved retries
  // cover a service's default window of requests in flight, should the links to a target fail.
  static constexpr double kRetryFraction = 0.1;
  static constexpr double kRetryBurst = 64;
  static constexpr double kHedgeFraction = 0.05;
  static constexpr double kHedgeBurst = 5;
  // Most attempts of one piece of work.
  static constexpr int kMaxAttempts = 12;
  // Wait of a suspect for a target of its own instance before the first turn to share one, and
  // length of a turn: an engine that a request crashes dies within tens of milliseconds.
  static constexpr Duration kSuspectWait = milliseconds(500);
  // Events after which resumed output has passed the point where its target died: an engine may
  // have made several that did not arrive.
  static constexpr int kEventsPastDeath = 8;
  // Longest wait for a target to become eligible.
  static constexpr Duration kMaxTargetWait = seconds(5);
  // Longest silence of a target before the call is given up; shorter deadlines allow less.
  static constexpr Duration kMaxSilence = seconds(10);
  static constexpr Duration kMinSilence = seconds(1);
  // Shortest delay before a hedge.
  static constexpr Duration kMinHedgeDelay = milliseconds(5);

  ~Dispatcher();

  // Runs `item`. The error's ran is kNo only if no target may have run any part of it.
  Result<WorkResult> Run(Task& task, const std::shared_ptr<const WorkItem>& item,
                         const StreamSink& sink);

 private:
  struct Leg;
  struct Race;

  explicit Dispatcher(const Builder& builder);

  Result<WorkResult> RunHedged(Task& task, const std::shared_ptr<const WorkItem>& item,
                               Duration delay, bool popular);
  void StartLeg(const std::shared_ptr<const WorkItem>& item, const std::shared_ptr<Race>& race,
                std::size_t index);
  Result<WorkResult> RunLeg(Task& task, const WorkItem& item, const StreamSink& sink, Leg& leg);
  // Waits until a refusal of the work is certain, withdrawn, or no longer of use.
  void WaitForBlame(Task& task, const WorkItem& item, const Leg& leg);
  Result<std::shared_ptr<TargetState>> WaitForTarget(Task& task, const WorkItem& item, Leg& leg);
  std::shared_ptr<TargetState> Pick(const WorkItem& item, const Leg& leg, bool repeat,
                                    TimePoint now);
  void KeepApart(const Candidates& working, bool share, Candidates& eligible) const;
  Result<WorkResult> CallTarget(Task& task, const WorkItem& item, const StreamSink& sink, Leg& leg,
                                const std::shared_ptr<TargetState>& target);
  Result<WorkResult> CallModel(Task& task, const WorkItem& item, const StreamSink& sink, Leg& leg,
                               const std::shared_ptr<TargetState>& target, const Span& span);
  Result<WorkResult> CallPlain(Task& task, const WorkItem& item, Leg& leg,
                               const std::shared_ptr<TargetState>& target, const Span& span);
  void CancelAtEngine(const std::shared_ptr<TargetState>& target, const std::string& call_id);

  Runtime& runtime;
  HttpClient& http;
  TargetTable& targets;
  CrashGuard& crashes;
  Tracer& tracer;
  Metrics& metrics;
  std::string zone;
  PickHook pick;
  SuspectTargetHook suspect_target;
  SuspectTurnHook suspect_turn;
  std::mt19937_64 random;
  TargetJudge judge;
  PrefixHomes prefixes;
  RetryBudget retries{kRetryFraction, kRetryBurst};
  RetryBudget hedges{kHedgeFraction, kHedgeBurst};
  // Latencies of short work by service and operation; bounded by the configured operations.
  std::map<std::string, LatencyWindow> latencies;
};

class Dispatcher::Builder {
 public:
  Builder(Runtime& runtime, HttpClient& http, TargetTable& targets, CrashGuard& crashes,
          Tracer& tracer, Metrics& metrics)
      : runtime(runtime),
        http(http),
        targets(targets),
        crashes(crashes),
        tracer(tracer),
        metrics(metrics) {}

  Builder& SetZone(std::string value);
  // Default: TwoChoicesPick.
  Builder& SetPick(PickHook value);
  // Default: suspects run on all targets.
  Builder& SetSuspects(SuspectTargetHook target, SuspectTurnHook turn);
  Builder& SetSeed(uint64_t value);
  std::unique_ptr<Dispatcher> Build() const;

 private:
  friend class Dispatcher;

  Runtime& runtime;
  HttpClient& http;
  TargetTable& targets;
  CrashGuard& crashes;
  Tracer& tracer;
  Metrics& metrics;
  std::string zone;
  PickHook pick = TwoChoicesPick();
  SuspectTargetHook suspect_target = [](const auto&, const auto&) { return true; };
  SuspectTurnHook suspect_turn = [] { return 0; };
  uint64_t seed = 1;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_DISPATCHER_H_
