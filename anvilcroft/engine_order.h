#ifndef ANVILCROFT_ENGINE_ORDER_H_
#define ANVILCROFT_ENGINE_ORDER_H_

// The desired state of an engine and the orders that bring it there, one step each. Orders are
// immutable.
//
//   std::optional<EngineOrder> order = NextOrder(target_id, goal, report);
//
// Orders are idempotent and convergent: the same target, kind and value always give the same
// order_id, and the next order depends on what the engine reports, not on what was ordered before.
// An engine does not execute an order id twice. Model and role may return to an earlier value, so
// their order ids also contain the configuration version.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/engine_report.h"
#include "anvilcroft/row.h"

namespace anvilcroft {

// Desired state of an engine. An empty string or a weight_version of 0 leaves the engine's current
// value as it is.
struct EngineGoal {
  std::string service;
  std::string model;
  int64_t weight_version = 0;
  std::string weight_uri;
  std::string role;
  // Version of the configuration that sets model and role.
  uint64_t revision = 0;
};

class EngineOrder {
 public:
  enum class Kind { kLoadModel, kLoadWeights, kSetRole };

  EngineOrder(const std::string& target_id, Kind kind, const EngineGoal& goal);

  Kind OrderKind() const { return this->kind; }
  const char* KindName() const;
  const std::string& OrderId() const { return this->order_id; }
  // Whether the engine downloads weights to execute the order, which therefore has to wait for the
  // engine's slot in the swap schedule.
  bool RequiresSwap() const { return this->kind != Kind::kSetRole; }

  // Body of POST /v1/orders, with the fencing token `fencing`.
  nlohmann::json Encode(RowVersion fencing) const;

  friend bool operator==(const EngineOrder& a, const EngineOrder& b) {
    return std::tie(a.kind, a.order_id, a.fields) == std::tie(b.kind, b.order_id, b.fields);
  }
  friend bool operator!=(const EngineOrder& a, const EngineOrder& b) { return !(a == b); }

 private:
  Kind kind;
  std::string order_id;
  nlohmann::json fields;
};

// The next order for an engine with the state `report`; nullopt if the engine has reached `goal`,
// is swapping or is leaving. Never orders a lower weight version than the reported one: such a goal
// comes from an outdated copy of the weights table.
std::optional<EngineOrder> NextOrder(const std::string& target_id, const EngineGoal& goal,
                                     const EngineReport& report);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_ORDER_H_
