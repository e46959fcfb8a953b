#include "anvilcroft/engine_order.h"

#include "anvilcroft/row_key.h"

namespace anvilcroft {

EngineOrder::EngineOrder(const std::string& target_id, Kind kind, const EngineGoal& goal)
    : kind(kind), fields(nlohmann::json::object()) {
  this->fields["service"] = goal.service;
  std::string value;
  switch (kind) {
    case Kind::kLoadModel:
      value = goal.model + "@" + std::to_string(goal.revision);
      this->fields["model"] = goal.model;
      break;
    case Kind::kLoadWeights:
      value = std::to_string(goal.weight_version);
      this->fields["version"] = goal.weight_version;
      this->fields["uri"] = goal.weight_uri;
      break;
    case Kind::kSetRole:
      value = goal.role + "@" + std::to_string(goal.revision);
      this->fields["role"] = goal.role;
      break;
  }
  this->order_id = RowKey({target_id, this->KindName(), value});
}

const char* EngineOrder::KindName() const {
  switch (this->kind) {
    case Kind::kLoadModel:
      return "load_model";
    case Kind::kLoadWeights:
      return "load_weights";
    case Kind::kSetRole:
      return "set_role";
  }
  return "set_role";
}

nlohmann::json EngineOrder::Encode(RowVersion fencing) const {
  nlohmann::json body = this->fields;
  body["fencing"] = fencing;
  body["order_id"] = this->order_id;
  body["kind"] = this->KindName();
  return body;
}

std::optional<EngineOrder> NextOrder(const std::string& target_id, const EngineGoal& goal,
                                     const EngineReport& report) {
  using Kind = EngineOrder::Kind;
  if (report.leaving || report.swapping) return std::nullopt;
  if (!goal.model.empty() && report.model != goal.model) {
    return EngineOrder(target_id, Kind::kLoadModel, goal);
  }
  if (goal.weight_version > report.weight_version) {
    return EngineOrder(target_id, Kind::kLoadWeights, goal);
  }
  if (!goal.role.empty() && report.role != goal.role) {
    return EngineOrder(target_id, Kind::kSetRole, goal);
  }
  return std::nullopt;
}

}  // namespace anvilcroft
