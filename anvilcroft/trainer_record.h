#ifndef ANVILCROFT_TRAINER_RECORD_H_
#define ANVILCROFT_TRAINER_RECORD_H_

// Registration of a trainer: the value of a row of the table `trainers`, and the body of
// PUT /v1/trainers/{trainer}, where the name may be omitted.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct TrainerRecord {
  std::string trainer;
  std::string service;
  int64_t weight_version = 0;   // the version that the trainer currently trains from
  int64_t staleness_bound = 0;  // maximum difference to weight_version in a delivered sample

  // The lowest weight version allowed in a delivered sample.
  int64_t OldestAllowedVersion() const { return this->weight_version - this->staleness_bound; }

  nlohmann::json Encode() const;
  // Decodes a row. Fails with kInvalidArgument and the offending field.
  static Result<TrainerRecord> Decode(const nlohmann::json& value);
  // Decodes a request body; `trainer` is the name in the path. Fails with kInvalidArgument, also if
  // the body has a different name.
  static Result<TrainerRecord> DecodeBody(const std::string& trainer, nlohmann::json body);

  friend bool operator==(const TrainerRecord& a, const TrainerRecord& b) {
    return std::tie(a.trainer, a.service, a.weight_version, a.staleness_bound) ==
           std::tie(b.trainer, b.service, b.weight_version, b.staleness_bound);
  }
  friend bool operator!=(const TrainerRecord& a, const TrainerRecord& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRAINER_RECORD_H_
