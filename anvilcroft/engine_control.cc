#include "anvilcroft/engine_control.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "orders";

// The code of an error answer {"error": {"code": ...}} or {"error": "..."}; "" if there is none.
std::string ErrorCodeOf(const HttpResponse& response) {
  const auto body = ParseJson(response.Body());
  if (!body || !body->is_object()) return "";
  const auto error = body->find("error");
  if (error == body->end()) return "";
  if (error->is_string()) return error->get<std::string>();
  if (!error->is_object()) return "";
  const auto code = error->find("code");
  return code != error->end() && code->is_string() ? code->get<std::string>() : "";
}

}  // namespace

// What the task of one engine remembers.
struct EngineControl::Watched {
  bool order_in_flight = false;
  int failures = 0;
  TimePoint not_before;
  // The last order that was accepted, until the engine reports its result, and the time from which
  // a report without that result means that the swap failed. A poll that was under way while the
  // order was answered may still show the state before it.
  std::string accepted;
  TimePoint accepted_until;
};

void EngineControl::Watch(const std::string& target_id) {
  if (!this->running.insert(target_id).second) return;
  this->runtime.Spawn([this, target_id](Task& task) {
    this->Run(task, target_id);
    this->running.erase(target_id);
  });
}

void EngineControl::Wake() {
  ++this->wakes;
  this->wake->NotifyAll();
}

void EngineControl::Run(Task& task, const std::string& target_id) {
  const std::shared_ptr<Event> event = this->wake;  // outlives the waits of this task
  const auto watched = std::make_shared<Watched>();
  while (const auto before = this->owned(target_id)) {
    const uint64_t seen = this->wakes;
    const auto state = this->Poll(task, *before);
    // Ownership may have moved during the poll.
    const auto current = this->owned(target_id);
    if (!current) return;
    TimePoint next = SteadyNow() + kPollInterval;
    if (state) next = std::min(next, this->Act(*current, *state, watched));
    while (seen == this->wakes && event->WaitUntil(task, next)) {
    }
  }
}

std::optional<EngineReport> EngineControl::Poll(Task& task, const EngineOwner::Owned& owned) {
  const auto request = HttpRequest::Builder().SetTarget("/v1/state").Build();
  const auto response =
      this->http.Call(task, owned.target.Address(), request,
                      CallOptions(SteadyNow() + kPollTimeout, kPollTimeout).WithResend());
  if (!response || response->Status() != 200) return std::nullopt;
  const auto body = ParseJson(response->Body());
  if (!body) return std::nullopt;
  auto decoded = DecodeEngineReport(*body);
  if (!decoded || decoded->id != owned.target.Id()) {
    LogWarning(kPart, "an engine gave a malformed state", {{"target", owned.target.Id()}});
    return std::nullopt;
  }
  this->report(*decoded);
  return *decoded;
}

TimePoint EngineControl::Act(const EngineOwner::Owned& owned, const EngineReport& report,
                             const std::shared_ptr<Watched>& watched) {
  const TimePoint now = SteadyNow();
  if (watched->order_in_flight || report.swapping) return now + kBusyPollInterval;
  const Goal goal = this->goal(owned.target);
  const auto order = NextOrder(owned.target.Id(), goal.goal, report);
  if (!order) {
    watched->failures = 0;
    watched->accepted.clear();
    watched->not_before = now;
    return now + kPollInterval;
  }
  if (this->orders_stopped) return now + kPollInterval;
  if (watched->accepted == order->OrderId()) {
    if (now < watched->accepted_until) return now + kBusyPollInterval;
    // The order was accepted, yet the engine neither swaps nor has what was ordered.
    this->Failed(*watched, now);
  }
  TimePoint start = std::max(now, watched->not_before);
  if (order->Swaps()) {
    const SwapSchedule schedule = SwapSchedule::Builder()
                                      .SetEngines(owned.engines)
                                      .SetMaxSwapping(goal.max_swapping)
                                      .SetDownloadsPerSecond(goal.downloads_per_second)
                                      .SetSwapTime(goal.swap_time)
                                      .Build();
    const Duration earliest = goal.since_published + (start - now);
    start += schedule.NextStart(static_cast<int64_t>(owned.rank), earliest) - earliest;
  }
  // Nothing changes before the slot, so the usual polls are enough: polls every 0.5 s for the 25 s
  // of a publication would cost an instance more control traffic than all the rest.
  if (start > now) return std::min(start, now + kPollInterval);
  this->Send(owned, *order, watched);
  return now + kBusyPollInterval;
}

void EngineControl::Send(const EngineOwner::Owned& owned, const EngineOrder& order,
                         const std::shared_ptr<Watched>& watched) {
  watched->order_in_flight = true;
  watched->accepted.clear();
  ++this->orders_in_flight;
  this->runtime.Spawn([this, owned, order, watched](Task& task) {
    const std::string outcome = this->SendOnce(task, owned, order);
    --this->orders_in_flight;
    watched->order_in_flight = false;
    this->metrics.Increment("anvilcroft_engine_orders_total",
                            {{"kind", order.KindName()}, {"outcome", outcome}});
    const TimePoint now = SteadyNow();
    if (outcome == "ok") {
      watched->accepted = order.OrderId();
      watched->accepted_until = now + 2 * kBusyPollInterval;
      return;
    }
    LogWarning(kPart, "an order failed",
               {{"target", owned.target.Id()}, {"order", order.OrderId()}, {"outcome", outcome}});
    if (outcome == ErrorCodeName(ErrorCode::kOldFencing)) {
      this->refused_token(owned.target.Id(), owned.token);
    }
    if (outcome == ErrorCodeName(ErrorCode::kNoLease)) {
      // Nothing was sent, so the engine has not failed.
      watched->not_before = now + kFirstRetryDelay;
      return;
    }
    this->Failed(*watched, now);
  });
}

void EngineControl::Failed(Watched& watched, TimePoint now) {
  watched.accepted.clear();
  const int doublings = std::min(watched.failures++, 6);
  const Duration delay =
      std::min<Duration>(kLongestRetryDelay, kFirstRetryDelay * (1 << doublings));
  // Jitter of a quarter, so that engines that failed together do not all retry together.
  const double factor = std::uniform_real_distribution<double>(1, 1.25)(this->random);
  watched.not_before = now + std::chrono::duration_cast<Duration>(delay * factor);
}

// Returns "ok" or the name of what went wrong.
std::string EngineControl::SendOnce(Task& task, const EngineOwner::Owned& owned,
                                    const EngineOrder& order) {
  const auto request = HttpRequest::Builder()
                           .SetMethod("POST")
                           .SetTarget("/v1/orders")
                           .SetJson(DumpJson(order.Encode(owned.token)))
                           .Build();
  const auto current = this->owned(owned.target.Id());
  const TimePoint now = SteadyNow();
  if (!current || current->token != owned.token || !this->holds_lease(now)) {
    return ErrorCodeName(ErrorCode::kNoLease);
  }
  const auto response = this->http.Call(task, owned.target.Address(), request,
                                        CallOptions(now + kOrderTimeout, kOrderTimeout));
  if (!response) return ErrorCodeName(response.error().code);
  if (response->Status() == 200) return "ok";
  const std::string code = ErrorCodeOf(*response);
  for (const ErrorCode known :
       {ErrorCode::kOldFencing, ErrorCode::kSwapFailed, ErrorCode::kLeaving}) {
    if (code == ErrorCodeName(known)) return code;
  }
  return "status_" + std::to_string(response->Status());
}

EngineControl::Builder& EngineControl::Builder::SetHttpClient(HttpClient& value) {
  this->http = &value;
  return *this;
}

EngineControl::Builder& EngineControl::Builder::SetMetrics(Metrics& value) {
  this->metrics = &value;
  return *this;
}

EngineControl::Builder& EngineControl::Builder::SetOwned(
    std::function<std::optional<EngineOwner::Owned>(const std::string&)> value) {
  this->owned = std::move(value);
  return *this;
}

EngineControl::Builder& EngineControl::Builder::SetGoal(std::function<Goal(const Target&)> value) {
  this->goal = std::move(value);
  return *this;
}

EngineControl::Builder& EngineControl::Builder::SetHoldsLease(
    std::function<bool(TimePoint)> value) {
  this->holds_lease = std::move(value);
  return *this;
}

EngineControl::Builder& EngineControl::Builder::SetReport(
    std::function<void(const EngineReport&)> value) {
  this->report = std::move(value);
  return *this;
}

EngineControl::Builder& EngineControl::Builder::SetRefusedToken(
    std::function<void(const std::string&, RowVersion)> value) {
  this->refused_token = std::move(value);
  return *this;
}

EngineControl::Builder& EngineControl::Builder::SetSeed(uint64_t value) {
  this->seed = value;
  return *this;
}

std::unique_ptr<EngineControl> EngineControl::Builder::Build() const {
  ANVILCROFT_CHECK(this->http != nullptr && this->metrics != nullptr);
  std::unique_ptr<EngineControl> control(
      new EngineControl(this->runtime, *this->http, *this->metrics));
  control->owned = this->owned;
  control->goal = this->goal;
  control->holds_lease = this->holds_lease;
  control->report = this->report;
  control->refused_token = this->refused_token;
  control->random.seed(this->seed);
  return control;
}

}  // namespace anvilcroft
