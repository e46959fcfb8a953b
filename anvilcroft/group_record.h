#ifndef ANVILCROFT_GROUP_RECORD_H_
#define ANVILCROFT_GROUP_RECORD_H_

// Definition of a group: a prompt and the number of samples to produce from it. It is the value of
// the row `steps` / <trainer>/<step>/<group> and immutable once written.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/group_id.h"

namespace anvilcroft {

struct GroupRecord {
  static constexpr std::size_t kMaxPromptBytes = 128 << 10;
  static constexpr int64_t kMaxSamples = 256;
  static constexpr int64_t kMaxTokens = 65536;

  GroupId id;
  std::string service;
  std::string operation;
  std::string judge;  // name of the service that computes the samples' rewards
  std::string prompt;
  int64_t samples = 1;  // indexes 0 to samples - 1
  int64_t max_tokens = 1;

  nlohmann::json Encode() const;
  // Fails with kInvalidArgument and the offending field.
  static Result<GroupRecord> Decode(const nlohmann::json& value);

  friend bool operator==(const GroupRecord& a, const GroupRecord& b) {
    return std::tie(a.id, a.service, a.operation, a.judge, a.prompt, a.samples, a.max_tokens) ==
           std::tie(b.id, b.service, b.operation, b.judge, b.prompt, b.samples, b.max_tokens);
  }
  friend bool operator!=(const GroupRecord& a, const GroupRecord& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_GROUP_RECORD_H_
