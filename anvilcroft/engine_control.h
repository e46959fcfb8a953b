#ifndef ANVILCROFT_ENGINE_CONTROL_H_
#define ANVILCROFT_ENGINE_CONTROL_H_

// Polls the engines that this instance owns and sends them orders until they have the desired
// model, weights and role.
//
//   auto control = EngineControl::Builder(runtime).SetHttpClient(http).SetFindOwned(...)
//       .SetSpec(...).SetHoldsLease(...).SetReport(...).Build();
//   control->StartPolling(target_id);   // once its fencing token is acquired
//
// Each engine has one polling task, which ends when this instance no longer owns the engine. Each
// order is sent by a separate task, so that polling continues during a swap. The lease is checked
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
  // Interval between polls while an order or a swap is in progress.
  static constexpr Duration kBusyPollInterval = milliseconds(500);
  static constexpr Duration kPollTimeout = seconds(2);
  // Timeout of an order. The result of a swap that takes longer is seen by polling.
  static constexpr Duration kOrderTimeout = seconds(60);
  // Delay before an order is repeated after a failure; doubles with each consecutive failure.
  static constexpr Duration kInitialRetryDelay = seconds(1);
  static constexpr Duration kMaxRetryDelay = seconds(60);

  // The desired state of an engine and the parameters of the swap schedule for reaching it.
  struct Spec {
    EngineGoal goal;
    double downloads_per_second = 1;
    double max_swapping = 0.25;
    Duration swap_time = SwapSchedule::kSwapTime;  // assumed duration of one swap
    // Time since the newest weights were published.
    Duration since_published = Duration::zero();
  };

  // Starts the polling task of `target_id` unless it is running.
  void StartPolling(const std::string& target_id);

  // Makes every polling task poll its engine now, for example after new weights were published.
  void CheckNow();

  // Stops sending orders. Orders in flight are completed.
  void StopOrders() { this->orders_stopped = true; }

  // Number of orders without a response yet.
  int64_t OrdersInFlight() const { return this->orders_in_flight; }

 private:
  struct OrderState;

  EngineControl(Runtime& runtime, HttpClient& http, Metrics& metrics)
      : runtime(runtime), http(http), metrics(metrics) {}
  void Run(Task& task, const std::string& target_id);
  std::optional<EngineReport> Poll(Task& task, const EngineOwner::OwnedEngine& owned);
  // Starts the next order of the engine if one is due. Returns the time of the next poll.
  TimePoint OrderIfDue(const EngineOwner::OwnedEngine& owned, const EngineReport& report,
                       const std::shared_ptr<OrderState>& order_state);
  void StartOrder(const EngineOwner::OwnedEngine& owned, const EngineOrder& order,
                  const std::shared_ptr<OrderState>& order_state);
  // Records a failed order and delays the next one by the backoff.
  void RecordFailure(OrderState& order_state, TimePoint now);
  // Sends an order once. Returns "ok" or the name of the failure.
  std::string SendOrder(Task& task, const EngineOwner::OwnedEngine& owned,
                        const EngineOrder& order);

  Runtime& runtime;
  HttpClient& http;
  Metrics& metrics;
  std::function<std::optional<EngineOwner::OwnedEngine>(const std::string&)> find_owned;
  std::function<Spec(const Target&)> spec;
  std::function<bool(TimePoint)> holds_lease;
  std::function<void(const EngineReport&)> report;
  std::function<void(const std::string&, RowVersion)> on_token_refused;
  std::mt19937_64 random;
  std::set<std::string> running;
  std::shared_ptr<Event> check_event = std::make_shared<Event>();
  uint64_t check_requests = 0;
  bool orders_stopped = false;
  int64_t orders_in_flight = 0;
};

class EngineControl::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetHttpClient(HttpClient& value);
  Builder& SetMetrics(Metrics& value);
  // Returns the engine with its fencing token, or nullopt if this instance does not own it.
  Builder& SetFindOwned(
      std::function<std::optional<EngineOwner::OwnedEngine>(const std::string&)> value);
  // Returns the current spec of an engine.
  Builder& SetSpec(std::function<Spec(const Target&)> value);
  // Returns whether this instance holds its lease at the given time.
  Builder& SetHoldsLease(std::function<bool(TimePoint)> value);
  // Called with each report that an engine returns.
  Builder& SetReport(std::function<void(const EngineReport&)> value);
  // Called when an engine refuses a fencing token as old.
  Builder& SetOnTokenRefused(std::function<void(const std::string&, RowVersion)> value);
  // Seed of the random jitter of the backoff.
  Builder& SetSeed(uint64_t value);
  std::unique_ptr<EngineControl> Build() const;

 private:
  Runtime& runtime;
  HttpClient* http = nullptr;
  Metrics* metrics = nullptr;
  std::function<std::optional<EngineOwner::OwnedEngine>(const std::string&)> find_owned;
  std::function<Spec(const Target&)> spec;
  std::function<bool(TimePoint)> holds_lease;
  std::function<void(const EngineReport&)> report;
  std::function<void(const std::string&, RowVersion)> on_token_refused;
  uint64_t seed = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_CONTROL_H_
