#ifndef ANVILCROFT_READY_RECORD_H_
#define ANVILCROFT_READY_RECORD_H_

// A sample that was produced and judged: the value of a row of the table `ready`, and an element
// of a TakeRecord.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/weight_span.h"

namespace anvilcroft {

struct ReadyRecord {
  // Output up to this size is stored in the row; larger output is stored in the object store.
  static constexpr std::size_t kMaxInlineBytes = 16 << 10;
  // Maximum size of a sample's output.
  static constexpr std::size_t kMaxOutputBytes = 768 << 10;
  // Maximum size of such an output as JSON, where one byte can become an escape sequence of six.
  static constexpr int64_t kMaxEncodedBytes = 6 * (768 << 10) + 2;
  // Maximum number of weight spans in a sample.
  static constexpr std::size_t kMaxSpans = 256;

  std::string output;                       // empty if output_key is set
  std::string output_key;                   // key in the object store, or empty
  int64_t output_bytes = 0;                 // size of the output as JSON
  std::vector<WeightSpan> weight_versions;  // in order, never empty
  double reward = 0;
  int64_t attempt = 1;

  // The lowest weight version that produced part of the output.
  int64_t MinVersion() const;

  nlohmann::json Encode() const;
  // Fails with kInvalidArgument, also if there is no weight span.
  static Result<ReadyRecord> Decode(const nlohmann::json& value);

  friend bool operator==(const ReadyRecord& a, const ReadyRecord& b) {
    return std::tie(a.output, a.output_key, a.output_bytes, a.weight_versions, a.reward,
                    a.attempt) ==
           std::tie(b.output, b.output_key, b.output_bytes, b.weight_versions, b.reward, b.attempt);
  }
  friend bool operator!=(const ReadyRecord& a, const ReadyRecord& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_READY_RECORD_H_
