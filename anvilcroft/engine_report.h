#ifndef ANVILCROFT_ENGINE_REPORT_H_
#define ANVILCROFT_ENGINE_REPORT_H_

// The state that a model engine reports in GET /v1/state. Its load figures may be out of date.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct EngineReport {
  std::string id;
  // Identifies the engine's process; a different value means that the engine restarted.
  std::string instance_start;
  std::string model;
  int64_t weight_version = 0;
  std::string role;
  bool swapping = false;
  bool leaving = false;
  bool checks_fencing = false;  // whether orders with a token below last_fencing are refused
  uint64_t last_fencing = 0;    // fencing token of the last accepted order
  int64_t running = 0;          // requests in the batch
  int64_t waiting = 0;          // requests queued for the batch
  double kv_free = 1;           // free fraction of the KV cache, 0 to 1

  friend bool operator==(const EngineReport& a, const EngineReport& b) {
    return std::tie(a.id, a.instance_start, a.model, a.weight_version, a.role, a.swapping,
                    a.leaving, a.checks_fencing, a.last_fencing, a.running, a.waiting, a.kv_free) ==
           std::tie(b.id, b.instance_start, b.model, b.weight_version, b.role, b.swapping,
                    b.leaving, b.checks_fencing, b.last_fencing, b.running, b.waiting, b.kv_free);
  }
  friend bool operator!=(const EngineReport& a, const EngineReport& b) { return !(a == b); }
};

// Decodes the body of GET /v1/state. Fails with kInvalidArgument and the name of the invalid field.
Result<EngineReport> DecodeEngineReport(const nlohmann::json& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_REPORT_H_
