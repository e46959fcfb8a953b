#ifndef ANVILCROFT_SAMPLE_RECORD_H_
#define ANVILCROFT_SAMPLE_RECORD_H_

// Delivery state of one sample: the value of a row of the table `samples`. A sample without a row
// has not been produced yet.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct SampleRecord {
  enum class State { kReady, kTaken, kRegenerate };

  State state = State::kReady;
  int64_t attempt = 1;  // number of times the sample was completed
  std::string take_id;  // the take that delivered it; empty unless taken

  const char* StateName() const;

  nlohmann::json Encode() const;
  static Result<SampleRecord> Decode(const nlohmann::json& value);

  friend bool operator==(const SampleRecord& a, const SampleRecord& b) {
    return std::tie(a.state, a.attempt, a.take_id) == std::tie(b.state, b.attempt, b.take_id);
  }
  friend bool operator!=(const SampleRecord& a, const SampleRecord& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SAMPLE_RECORD_H_
