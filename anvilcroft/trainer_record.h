#ifndef ANVILCROFT_TRAINER_RECORD_H_
#define ANVILCROFT_TRAINER_RECORD_H_

// One trainer: the value of a row of the table `trainers`, and the body of PUT /v1/trainers/{t}
// (without the name).

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct TrainerRecord {
  std::string trainer;
  std::string service;
  int64_t weight_version = 0;   // the version that the trainer trains from now
  int64_t staleness_bound = 0;  // most versions that a delivered sample may be behind

  // The lowest weight version that a delivered sample may name.
  int64_t OldestAllowed() const { return this->weight_version - this->staleness_bound; }

  nlohmann::json Encode() const;
  // Decodes a row. Fails with kInvalidArgument and the offending field.
  static Result<TrainerRecord> Decode(const nlohmann::json& value);
  // Decodes the body of a request about the trainer called `trainer`.
  static Result<TrainerRecord> DecodeBody(const std::string& trainer, nlohmann::json body);

  friend bool operator==(const TrainerRecord& a, const TrainerRecord& b) {
    return std::tie(a.trainer, a.service, a.weight_version, a.staleness_bound) ==
           std::tie(b.trainer, b.service, b.weight_version, b.staleness_bound);
  }
  friend bool operator!=(const TrainerRecord& a, const TrainerRecord& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRAINER_RECORD_H_
