#include "fakes/engine_orders.h"

#include "anvilcroft/json.h"

namespace anvilcroft::fakes {
namespace {

tl::unexpected<Error> Crashed() {
  return Fail(ErrorCode::kConnectionLost, "the engine crashed", "", Ran::kUnknown);
}

}  // namespace

Result<EngineOrders::Order> EngineOrders::Decode(const nlohmann::json& value) {
  JsonFields fields(value, "order");
  Order order;
  order.id = fields.String("order_id");
  order.kind = fields.String("kind");
  order.fencing = static_cast<uint64_t>(fields.Integer("fencing", 0, INT64_MAX));
  if (order.kind == "load_weights") {
    order.version = fields.Integer("version", 0, INT64_MAX);
  } else if (order.kind == "load_model") {
    order.name = fields.String("model");
  } else if (order.kind == "load_adapter") {
    order.name = fields.String("adapter");
  } else if (order.kind == "set_role") {
    order.name = fields.String("role");
  } else {
    fields.RecordError("kind", "must be load_model, load_adapter, load_weights or set_role");
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return order;
}

Result<void> EngineOrders::Run(Task& task, const nlohmann::json& value) {
  const auto order = Decode(value);
  if (!order) return tl::unexpected<Error>(order.error());
  const bool repeated = this->HasCompleted(*order);
  const Result<void> outcome = this->WaitAndExecute(task, *order);
  const std::string code = outcome ? "done" : ErrorCodeName(outcome.error().code);
  this->log.push_back({{"order_id", order->id},
                       {"kind", order->kind},
                       {"fencing", order->fencing},
                       {"version", order->version},
                       {"name", order->name},
                       {"outcome", outcome && repeated ? "repeated" : code},
                       {"at_ms", this->hooks.millis()}});
  return outcome;
}

bool EngineOrders::HasCompleted(const Order& order) const {
  const auto last = this->last_completed.find(order.kind);
  return last != this->last_completed.end() && last->second == order.id;
}

Result<void> EngineOrders::CheckFencing(const Order& order) {
  if (!this->options.checks_fencing) return {};
  if (order.fencing < this->highest_fencing) {
    return Fail(ErrorCode::kOldFencing, "a higher fencing token was already seen", "fencing");
  }
  this->highest_fencing = order.fencing;
  return {};
}

Result<void> EngineOrders::WaitAndExecute(Task& task, const Order& order) {
  const std::shared_ptr<Event> event = this->order_ended;
  const uint64_t restarts_before = this->restarts;
  while (true) {
    if (auto allowed = this->CheckFencing(order); !allowed) return allowed;
    if (this->HasCompleted(order)) return {};
    if (!this->busy) break;
    event->Wait(task);
    if (restarts_before != this->restarts) return Crashed();
  }
  this->busy = true;
  Result<void> outcome = this->Execute(task, order);
  if (restarts_before != this->restarts) return Crashed();
  this->busy = false;
  this->swapping = false;
  this->installing = false;
  if (outcome) this->last_completed[order.kind] = order.id;
  event->NotifyAll();
  return outcome;
}

Result<void> EngineOrders::Execute(Task& task, const Order& order) {
  if (order.kind == "set_role") {
    this->loaded.role = order.name;
    return {};
  }
  if (order.kind == "load_adapter") {
    this->loaded.adapters.insert(order.name);
    return {};
  }
  const bool already_loaded = order.kind == "load_weights"
                                  ? order.version == this->loaded.weight_version
                                  : order.name == this->loaded.model;
  if (already_loaded) return {};
  this->swapping = true;
  Result<void> outcome = this->Swap(task, order);
  this->last_error = outcome ? "" : outcome.error().message;
  return outcome;
}

Result<void> EngineOrders::Swap(Task& task, const Order& order) {
  const uint64_t restarts_before = this->restarts;
  if (order.kind == "load_weights") {
    const auto fetched = this->hooks.download(task, order.version);
    if (restarts_before != this->restarts) return Crashed();
    if (!fetched) return Fail(ErrorCode::kSwapFailed, fetched.error().message, "download");
  }
  this->installing = true;
  const bool fails = this->hooks.fail_swap();
  const Duration time = fails ? this->options.swap_time / 2 : this->options.swap_time;
  if (!this->hooks.delay(task, time)) return Crashed();
  if (fails) return Fail(ErrorCode::kSwapFailed, "the installation failed partway", "install");
  if (order.kind == "load_weights") {
    this->loaded.weight_version = order.version;
  } else {
    this->loaded.model = order.name;
  }
  this->hooks.weights_changed();
  return {};
}

void EngineOrders::Reset() {
  ++this->restarts;
  this->loaded = this->initial;
  this->last_completed.clear();
  this->highest_fencing = 0;
  this->busy = false;
  this->swapping = false;
  this->installing = false;
  this->last_error.clear();
  this->order_ended->NotifyAll();
}

}  // namespace anvilcroft::fakes
