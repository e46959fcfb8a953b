#ifndef ANVILCROFT_ENGINE_CONTROL_H_
#define ANVILCROFT_ENGINE_CONTROL_H_

// Polls the engines that this instance owns and orders them to have the desired model, weights and
// role.
//
//   auto control = EngineControl::Builder(runtime).SetHttpClient(http).SetOwned(...)
//       .SetGoal(...).SetHoldsLease(...).SetReport(...).Build();
//   control->Watch(target_id);   // when the target's token has become known
//
// One task for each engine. It ends when the target is owned no longer. Each order is sent by a
// task of its own, so that the engine's state stays known during a swap. The lease is checked
// directly before each send; with an engine that ignores fencing tokens this bounds the time in
// which a former owner can still give orders. A failed swap is ordered again in a later slot of
// the swap schedule, after a backoff.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "anvilcroft/engine_order.h"
#include "anvilcroft/engine_owner.h"
#include "anvilcroft/engine_report.h"
#include "anvilcroft/event.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/swap_schedule.h"

namespace anvilcroft {

class EngineControl {
 public:
  class Builder;

  static constexpr Duration kPollInterval = seconds(5);
  // Time between polls while a change is due or under way.
  static constexpr Duration kBusyPollInterval = milliseconds(500);
  static constexpr Duration kPollTimeout = seconds(2);
  // Longest wait for the answer to an order. A swap that takes longer is followed by polls.
  static constexpr Duration kOrderTimeout = seconds(60);
  // Wait after a failed swap; doubles with each failure in a row.
  static constexpr Duration kFirstRetryDelay = seconds(1);
  static constexpr Duration kLongestRetryDelay = seconds(60);

  // The goal of an engine with what the swap schedule needs.
  struct Goal {
    EngineGoal goal;
    double downloads_per_second = 1;
    double max_swapping = 0.25;
    Duration swap_time = SwapSchedule::kSwapTime;  // of one engine
    // Time since the newest weights were published.
    Duration since_published = Duration::zero();
  };

  // Starts the task of `target_id` unless it is running.
  void Watch(const std::string& target_id);

  // Makes every task poll at once, for example when new weights were published.
  void Wake();

  // Sends no more orders. Orders under way are completed.
  void StopOrders() { this->orders_stopped = true; }

  // Number of orders whose answers are outstanding.
  int64_t OrdersInFlight() const { return this->orders_in_flight; }

 private:
  struct Watched;

  EngineControl(Runtime& runtime, HttpClient& http, Metrics& metrics)
      : runtime(runtime), http(http), metrics(metrics) {}
  void Run(Task& task, const std::string& target_id);
  std::optional<EngineReport> Poll(Task& task, const EngineOwner::Owned& owned);
  // The time of the next poll or order of an engine with `report`.
  TimePoint Act(const EngineOwner::Owned& owned, const EngineReport& report,
                const std::shared_ptr<Watched>& watched);
  void Send(const EngineOwner::Owned& owned, const EngineOrder& order,
            const std::shared_ptr<Watched>& watched);
  // Sets the time before which the engine gets no further order.
  void Failed(Watched& watched, TimePoint now);
  std::string SendOnce(Task& task, const EngineOwner::Owned& owned, const EngineOrder& order);

  Runtime& runtime;
  HttpClient& http;
  Metrics& metrics;
  std::function<std::optional<EngineOwner::Owned>(const std::string&)> owned;
  std::function<Goal(const Target&)> goal;
  std::function<bool(TimePoint)> holds_lease;
  std::function<void(const EngineReport&)> report;
  std::function<void(const std::string&, RowVersion)> refused_token;
  std::mt19937_64 random;
  std::set<std::string> running;
  std::shared_ptr<Event> wake = std::make_shared<Event>();
  uint64_t wakes = 0;
  bool orders_stopped = false;
  int64_t orders_in_flight = 0;
};

class EngineControl::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetHttpClient(HttpClient& value);
  Builder& SetMetrics(Metrics& value);
  // The target with its token while this instance owns it.
  Builder& SetOwned(std::function<std::optional<EngineOwner::Owned>(const std::string&)> value);
  Builder& SetGoal(std::function<Goal(const Target&)> value);
  Builder& SetHoldsLease(std::function<bool(TimePoint)> value);
  Builder& SetReport(std::function<void(const EngineReport&)> value);
  // Called when an engine refuses a token as old.
  Builder& SetRefusedToken(std::function<void(const std::string&, RowVersion)> value);
  Builder& SetSeed(uint64_t value);
  std::unique_ptr<EngineControl> Build() const;

 private:
  Runtime& runtime;
  HttpClient* http = nullptr;
  Metrics* metrics = nullptr;
  std::function<std::optional<EngineOwner::Owned>(const std::string&)> owned;
  std::function<Goal(const Target&)> goal;
  std::function<bool(TimePoint)> holds_lease;
  std::function<void(const EngineReport&)> report;
  std::function<void(const std::string&, RowVersion)> refused_token;
  uint64_t seed = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_CONTROL_H_
