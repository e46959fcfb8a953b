#ifndef ANVILCROFT_DISPATCHER_H_
#define ANVILCROFT_DISPATCHER_H_

// Runs admitted work items on targets: picks a target, calls it, and retries a failed call within
// the limits of the item's deadline, its repeatability and the retry budget.
//
// Model requests are repeatable: a broken stream is resumed on another engine from the tokens
// received so far, and the weight spans of all engines are joined. Repeatable short work that is
// not streamed is hedged: after the 95th percentile of the latencies observed by this instance, a
// second copy starts on another target. The first complete response is used and the other copy is
// cancelled.
//
// Every request that was running on a target when it crashed is a suspect. Suspects run on separate
// targets, also across instances, until they show progress. Otherwise innocent requests could share
// a second target with the request that crashes targets, and would be refused along with it. A
// request whose output grows past the point of the crash is no longer a suspect.
//
// Work that must not be repeated is dispatched once; another target is tried only if the connection
// could not be established.

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
#include "anvilcroft/target_failure_handler.h"
#include "anvilcroft/target_picker.h"
#include "anvilcroft/target_table.h"
#include "anvilcroft/tracer.h"
#include "anvilcroft/work_item.h"
#include "anvilcroft/work_result.h"

namespace anvilcroft {

class Dispatcher {
 public:
  class Builder;

  // Returns whether this instance runs suspects on `target`, one of the `targets` of its service.
  using SuspectTargetHook =
      std::function<bool(const std::vector<std::string>& targets, const std::string& target)>;

  // Returns this instance's turn, from 0, to run suspects on targets of other instances. A turn
  // lasts kSuspectTurnLength.
  using SuspectTurnHook = std::function<int()>;

  // Retry and hedge budget earned by each request, and the most that can accumulate. The retry
  // burst covers a service's default limit of requests in flight, in case the links to a target
  // fail.
  static constexpr double kRetryFraction = 0.1;
  static constexpr double kRetryBurst = 64;
  static constexpr double kHedgeFraction = 0.05;
  static constexpr double kHedgeBurst = 5;
  // Maximum number of attempts for one copy of a work item.
  static constexpr int kMaxAttempts = 12;
  // Time for which a suspect waits for a target of its own instance before the first turn to use
  // another instance's target, and length of a turn. A request that crashes an engine does so
  // within tens of milliseconds.
  static constexpr Duration kSuspectTurnLength = milliseconds(500);
  // Number of events after which resumed output has passed the point of the crash. It is more than
  // one because the crashed engine may have produced several events that did not arrive.
  static constexpr int kEventsPastCrash = 8;
  // Maximum wait for a target to become eligible.
  static constexpr Duration kMaxTargetWait = seconds(5);
  // Bounds of the time without data after which a call is abandoned. For a model call the limit is
  // a third of the time until the deadline within these bounds, with a higher maximum for
  // low-priority work. For a repeatable unary call it is half of the time until the deadline, or a
  // multiple of the observed latencies (at least 2 * kMinSilence) if that is shorter. Other unary
  // calls are limited by the deadline alone.
  static constexpr Duration kMaxSilence = seconds(10);
  static constexpr Duration kMinSilence = seconds(1);
  // Minimum delay before a hedge.
  static constexpr Duration kMinHedgeDelay = milliseconds(5);

  ~Dispatcher();

  // Runs `item` and returns the complete result. With a sink, the events of a model request are
  // also passed to it as they arrive. In an error, `ran` is kNo only if no target can have run any
  // part of the item.
  Result<WorkResult> Run(Task& task, const std::shared_ptr<const WorkItem>& item,
                         const StreamSink& sink);

 private:
  struct RequestCopy;
  struct Race;

  explicit Dispatcher(const Builder& builder);

  Result<WorkResult> RunHedged(Task& task, const std::shared_ptr<const WorkItem>& item,
                               Duration delay, bool popular);
  void StartCopy(const std::shared_ptr<const WorkItem>& item, const std::shared_ptr<Race>& race,
                 std::size_t index);
  Result<WorkResult> RunCopy(Task& task, const WorkItem& item, const StreamSink& sink,
                             RequestCopy& copy);
  // Waits while a refusal of the request as crashing its targets may still be withdrawn. Returns
  // early if the request is cancelled or its deadline passes.
  void WaitForCrashConfirmation(Task& task, const WorkItem& item, const RequestCopy& copy);
  Result<std::shared_ptr<TargetState>> WaitForTarget(Task& task, const WorkItem& item,
                                                     RequestCopy& copy);
  // Picks an eligible target, or returns null if there is none. With `repeat`, targets on which
  // the item already failed are allowed.
  std::shared_ptr<TargetState> Pick(const WorkItem& item, const RequestCopy& copy, bool repeat,
                                    TimePoint now);
  // Removes from `eligible` the targets on which another suspect may be running.
  void SeparateSuspects(const Candidates& subset, bool share, Candidates& eligible) const;
  Result<WorkResult> CallTarget(Task& task, const WorkItem& item, const StreamSink& sink,
                                RequestCopy& copy, const std::shared_ptr<TargetState>& target);
  Result<WorkResult> CallModel(Task& task, const WorkItem& item, const StreamSink& sink,
                               RequestCopy& copy, const std::shared_ptr<TargetState>& target,
                               const Span& span);
  Result<WorkResult> CallUnary(Task& task, const WorkItem& item, RequestCopy& copy,
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
  TargetFailureHandler failure_handler;
  PrefixHomes prefixes;
  RetryBudget retries{kRetryFraction, kRetryBurst};
  RetryBudget hedges{kHedgeFraction, kHedgeBurst};
  // Latencies of short work by service and operation. The size is bounded by the configured
  // operations.
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
  // Default: suspects may run on every target.
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
