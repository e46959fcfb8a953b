#include "anvilcroft/ready_record.h"

#include <algorithm>
#include <limits>

#include "anvilcroft/json.h"

namespace anvilcroft {

int64_t ReadyRecord::MinVersion() const {
  int64_t lowest = std::numeric_limits<int64_t>::max();
  for (const WeightSpan& span : this->weight_versions) lowest = std::min(lowest, span.version);
  return lowest;
}

nlohmann::json ReadyRecord::Encode() const {
  nlohmann::json spans = nlohmann::json::array();
  for (const WeightSpan& span : this->weight_versions) {
    spans.push_back({{"version", span.version}, {"tokens", span.tokens}});
  }
  nlohmann::json value = {{"output_bytes", this->output_bytes},
                          {"weight_versions", spans},
                          {"reward", this->reward},
                          {"min_version", this->MinVersion()},
                          {"attempt", this->attempt}};
  if (this->output_key.empty()) {
    value["output"] = this->output;
  } else {
    value["output_key"] = this->output_key;
  }
  return value;
}

Result<ReadyRecord> ReadyRecord::Decode(const nlohmann::json& value) {
  JsonFields fields(value, "ready");
  ReadyRecord record;
  record.output_key = fields.StringOr("output_key", "");
  record.output = fields.StringOr("output", "", kMaxInlineBytes);
  record.output_bytes = fields.Integer("output_bytes", 0, kMaxEncodedBytes);
  for (const nlohmann::json& item : fields.Array("weight_versions", kMaxSpans)) {
    JsonFields inner(item, "ready.weight_versions");
    WeightSpan span;
    span.version = inner.Integer("version", 0, INT64_MAX);
    span.tokens = inner.Integer("tokens", 0, INT64_MAX);
    if (const auto read = inner.Finish(); !read) return tl::unexpected<Error>(read.error());
    record.weight_versions.push_back(span);
  }
  if (record.weight_versions.empty()) fields.RecordError("weight_versions", "must not be empty");
  constexpr double kLargest = std::numeric_limits<double>::max();
  record.reward = fields.NumberOr("reward", 0, -kLargest, kLargest);
  record.attempt = fields.Integer("attempt", 1, INT32_MAX);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

}  // namespace anvilcroft
