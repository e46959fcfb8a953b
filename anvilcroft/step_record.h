#ifndef ANVILCROFT_STEP_RECORD_H_
#define ANVILCROFT_STEP_RECORD_H_

// Progress of one step of a trainer: the value of the row `steps` / <trainer>/<step>. It identifies
// repeated submissions and counts the samples that remain to be delivered.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct StepRecord {
  std::string fingerprint;  // StepRequest::Fingerprint
  int64_t samples = 0;      // in all groups
  int64_t taken = 0;        // delivered so far

  int64_t Remaining() const { return this->samples - this->taken; }

  // Key of the row.
  static std::string Key(const std::string& trainer, int64_t step);

  nlohmann::json Encode() const;
  static Result<StepRecord> Decode(const nlohmann::json& value);

  friend bool operator==(const StepRecord& a, const StepRecord& b) {
    return std::tie(a.fingerprint, a.samples, a.taken) ==
           std::tie(b.fingerprint, b.samples, b.taken);
  }
  friend bool operator!=(const StepRecord& a, const StepRecord& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STEP_RECORD_H_
