#include "anvilcroft/engine_control.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "orders";

// The code in an error body {"error": {"code": ...}} or {"error": "..."}; "" if there is none.
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

// State of the orders to one engine, shared by its polling task and the tasks that send orders.
struct EngineControl::OrderState {
  bool order_in_flight = false;
  int failures = 0;      // consecutive
  TimePoint not_before;  // earliest time of the next order
  // Id of the last accepted order whose result the engine has not reported yet; "" if there is
  // none.
  std::string accepted_order_id;
  // From this time a report that does not show the accepted order's result means that the swap
  // failed. Earlier reports may come from a poll that was in flight when the order was accepted and
  // show the state before it.
  TimePoint result_due;
};

void EngineControl::StartPolling(const std::string& target_id) {
  if (!this->running.insert(target_id).second) return;
  this->runtime.Spawn([this, target_id](Task& task) {
    this->Run(task, target_id);
    this->running.erase(target_id);
  });
}

void EngineControl::CheckNow() {
  ++this->check_requests;
  this->check_event->NotifyAll();
}

void EngineControl::Run(Task& task, const std::string& target_id) {
  const std::shared_ptr<Event> event = this->check_event;  // outlives the waits of this task
  const auto order_state = std::make_shared<OrderState>();
  while (const auto before = this->find_owned(target_id)) {
    const uint64_t seen = this->check_requests;
    const auto state = this->Poll(task, *before);
    // Ownership may have changed during the poll.
    const auto current = this->find_owned(target_id);
    if (!current) return;
    TimePoint next = SteadyNow() + kPollInterval;
    if (state) next = std::min(next, this->OrderIfDue(*current, *state, order_state));
    while (seen == this->check_requests && event->WaitUntil(task, next)) {
    }
  }
}

std::optional<EngineReport> EngineControl::Poll(Task& task, const EngineOwner::OwnedEngine& owned) {
  const auto request = HttpRequest::Builder().SetTarget("/v1/state").Build();
  const auto response =
      this->http.Call(task, owned.target.Address(), request,
                      CallOptions(SteadyNow() + kPollTimeout, kPollTimeout).WithResend());
  if (!response || response->Status() != 200) return std::nullopt;
  const auto body = ParseJson(response->Body());
  if (!body) return std::nullopt;
  auto decoded = DecodeEngineReport(*body);
  if (!decoded || decoded->id != owned.target.Id()) {
    LogWarning(kPart, "ignoring an engine's state report that is malformed or has another id",
               {{"target", owned.target.Id()}});
    return std::nullopt;
  }
  this->report(*decoded);
  return *decoded;
}

TimePoint EngineControl::OrderIfDue(const EngineOwner::OwnedEngine& owned,
                                    const EngineReport& report,
                                    const std::shared_ptr<OrderState>& order_state) {
  const TimePoint now = SteadyNow();
  if (order_state->order_in_flight || report.swapping) return now + kBusyPollInterval;
  const Spec spec = this->spec(owned.target);
  const auto order = NextOrder(owned.target.Id(), spec.goal, report);
  if (!order) {
    order_state->failures = 0;
    order_state->accepted_order_id.clear();
    order_state->not_before = now;
    return now + kPollInterval;
  }
  if (this->orders_stopped) return now + kPollInterval;
  if (order_state->accepted_order_id == order->OrderId()) {
    if (now < order_state->result_due) return now + kBusyPollInterval;
    // The engine accepted the order but is neither swapping nor in the ordered state.
    this->RecordFailure(*order_state, now);
  }
  TimePoint start = std::max(now, order_state->not_before);
  if (order->RequiresSwap()) {
    const SwapSchedule schedule = SwapSchedule::Builder()
                                      .SetEngines(owned.engines)
                                      .SetMaxSwapping(spec.max_swapping)
                                      .SetDownloadsPerSecond(spec.downloads_per_second)
                                      .SetSwapTime(spec.swap_time)
                                      .Build();
    const Duration earliest = spec.since_published + (start - now);
    start += schedule.NextStart(static_cast<int64_t>(owned.rank), earliest) - earliest;
  }
  // The engine's state does not change before its slot, so it is polled at the normal interval:
  // polling every 0.5 s during the 25 s of a publication would cost an instance more control
  // traffic than everything else.
  if (start > now) return std::min(start, now + kPollInterval);
  this->StartOrder(owned, *order, order_state);
  return now + kBusyPollInterval;
}

void EngineControl::StartOrder(const EngineOwner::OwnedEngine& owned, const EngineOrder& order,
                               const std::shared_ptr<OrderState>& order_state) {
  order_state->order_in_flight = true;
  order_state->accepted_order_id.clear();
  ++this->orders_in_flight;
  this->runtime.Spawn([this, owned, order, order_state](Task& task) {
    const std::string outcome = this->SendOrder(task, owned, order);
    --this->orders_in_flight;
    order_state->order_in_flight = false;
    this->metrics.Increment("anvilcroft_engine_orders_total",
                            {{"kind", order.KindName()}, {"outcome", outcome}});
    const TimePoint now = SteadyNow();
    if (outcome == "ok") {
      order_state->accepted_order_id = order.OrderId();
      order_state->result_due = now + 2 * kBusyPollInterval;
      return;
    }
    LogWarning(kPart, "order to an engine failed; the next order is delayed",
               {{"target", owned.target.Id()}, {"order", order.OrderId()}, {"outcome", outcome}});
    if (outcome == ErrorCodeName(ErrorCode::kOldFencing)) {
      this->on_token_refused(owned.target.Id(), owned.token);
    }
    if (outcome == ErrorCodeName(ErrorCode::kNoLease)) {
      // No order was sent, so this does not count as a failure of the engine.
      order_state->not_before = now + kInitialRetryDelay;
      return;
    }
    this->RecordFailure(*order_state, now);
  });
}

void EngineControl::RecordFailure(OrderState& order_state, TimePoint now) {
  order_state.accepted_order_id.clear();
  const int doublings = std::min(order_state.failures++, 6);
  const Duration delay = std::min<Duration>(kMaxRetryDelay, kInitialRetryDelay * (1 << doublings));
  // Jitter of up to 25 %, so that engines that failed together do not all retry together.
  const double factor = std::uniform_real_distribution<double>(1, 1.25)(this->random);
  order_state.not_before = now + std::chrono::duration_cast<Duration>(delay * factor);
}

std::string EngineControl::SendOrder(Task& task, const EngineOwner::OwnedEngine& owned,
                                     const EngineOrder& order) {
  const auto request = HttpRequest::Builder()
                           .SetMethod("POST")
                           .SetTarget("/v1/orders")
                           .SetJson(DumpJson(order.Encode(owned.token)))
                           .Build();
  const auto current = this->find_owned(owned.target.Id());
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

EngineControl::Builder& EngineControl::Builder::SetFindOwned(
    std::function<std::optional<EngineOwner::OwnedEngine>(const std::string&)> value) {
  this->find_owned = std::move(value);
  return *this;
}

EngineControl::Builder& EngineControl::Builder::SetSpec(std::function<Spec(const Target&)> value) {
  this->spec = std::move(value);
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

EngineControl::Builder& EngineControl::Builder::SetOnTokenRefused(
    std::function<void(const std::string&, RowVersion)> value) {
  this->on_token_refused = std::move(value);
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
  control->find_owned = this->find_owned;
  control->spec = this->spec;
  control->holds_lease = this->holds_lease;
  control->report = this->report;
  control->on_token_refused = this->on_token_refused;
  control->random.seed(this->seed);
  return control;
}

}  // namespace anvilcroft
