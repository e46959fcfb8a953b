#ifndef ANVILCROFT_WEIGHT_RECORD_H_
#define ANVILCROFT_WEIGHT_RECORD_H_

// The newest weights of one service: the value of a row of the table `weights` and, without
// published_ms, the body of POST /v1/weights.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct WeightRecord {
  std::string service;
  int64_t version = 0;          // at least 1
  WallMillis published_ms = 0;  // only schedules the swaps; correctness does not depend on it
  std::string uri;              // where engines download the weights

  nlohmann::json Encode() const;
  // Fails with kInvalidArgument and the name of the invalid field.
  static Result<WeightRecord> Decode(const nlohmann::json& value);

  friend bool operator==(const WeightRecord& a, const WeightRecord& b) {
    return std::tie(a.service, a.version, a.published_ms, a.uri) ==
           std::tie(b.service, b.version, b.published_ms, b.uri);
  }
  friend bool operator!=(const WeightRecord& a, const WeightRecord& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_WEIGHT_RECORD_H_
