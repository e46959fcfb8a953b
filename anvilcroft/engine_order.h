#ifndef ANVILCROFT_ENGINE_ORDER_H_
#define ANVILCROFT_ENGINE_ORDER_H_

// What an engine should have, and the order that brings it one step closer. Immutable values.
//
//   std::optional<EngineOrder> order = NextOrder(target_id, goal, report);
//
// Orders are idempotent and convergent: one target, kind and value always give one order_id, and
// what an engine reports, not what was ordered, decides what comes next. An engine does not run an
// order again whose id it has carried out, so the ids for model and role, which may return to an
// earlier value, hold the configuration version too.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/engine_report.h"
#include "anvilcroft/row.h"

namespace anvilcroft {

// What the owner of an engine wants it to have. Empty strings and version 0: whatever it has.
struct EngineGoal {
  std::string service;
  std::string model;
  int64_t weight_version = 0;
  std::string weight_uri;
  std::string role;
  // Version of the configuration that names model and role.
  uint64_t revision = 0;
};

class EngineOrder {
 public:
  enum class Kind { kLoadModel, kLoadWeights, kSetRole };

  EngineOrder(const std::string& target_id, Kind kind, const EngineGoal& goal);

  Kind OrderKind() const { return this->kind; }
  const char* KindName() const;
  const std::string& OrderId() const { return this->order_id; }
  // Whether the engine downloads weights to carry it out and so has to wait for its slot.
  bool Swaps() const { return this->kind != Kind::kSetRole; }

  // Body of POST /v1/orders.
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

// The next order for an engine that reports `report`, or nullopt if it has what it should have, is
// swapping or is leaving. Never orders a weight version lower than the reported one: such a goal
// comes from a copy of the weights table that is behind.
std::optional<EngineOrder> NextOrder(const std::string& target_id, const EngineGoal& goal,
                                     const EngineReport& report);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_ORDER_H_
