#ifndef ANVILCROFT_STEP_REQUEST_H_
#define ANVILCROFT_STEP_REQUEST_H_

// The body of POST /v1/trainers/{t}/steps: all groups of samples of one training step. Immutable
// once decoded.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/group_record.h"

namespace anvilcroft {

struct StepRequest {
  static constexpr std::size_t kMaxGroups = 1024;
  static constexpr int64_t kMaxSamples = 8192;

  std::string trainer;
  int64_t step = 0;
  std::string service;
  std::string operation;
  std::string judge;
  std::vector<GroupRecord> groups;

  // Number of samples in all groups.
  int64_t Samples() const;

  // Hash of all groups in order. Equal for requests with the same groups in the same order.
  std::string Fingerprint() const;

  // Fails with kInvalidArgument or kTooLarge and the offending field.
  static Result<StepRequest> Decode(const std::string& trainer, const nlohmann::json& body);

  friend bool operator==(const StepRequest& a, const StepRequest& b) {
    return std::tie(a.trainer, a.step, a.service, a.operation, a.judge, a.groups) ==
           std::tie(b.trainer, b.step, b.service, b.operation, b.judge, b.groups);
  }
  friend bool operator!=(const StepRequest& a, const StepRequest& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STEP_REQUEST_H_
