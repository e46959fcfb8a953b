#include "anvilcroft/group_record.h"

#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {

nlohmann::json GroupRecord::Encode() const {
  nlohmann::json value = this->id.Encode();
  value["service"] = this->service;
  value["operation"] = this->operation;
  value["judge"] = this->judge;
  value["prompt"] = this->prompt;
  value["samples"] = this->samples;
  value["max_tokens"] = this->max_tokens;
  return value;
}

Result<GroupRecord> GroupRecord::Decode(const nlohmann::json& value) {
  auto id = GroupId::Decode(value);
  if (!id) return tl::unexpected<Error>(id.error());
  JsonFields fields(value, "group");
  GroupRecord record;
  record.id = std::move(*id);
  record.service = fields.String("service", GroupId::kMaxNameBytes);
  record.operation = fields.String("operation", GroupId::kMaxNameBytes);
  record.judge = fields.String("judge", GroupId::kMaxNameBytes);
  record.prompt = fields.String("prompt", kMaxPromptBytes);
  record.samples = fields.Integer("samples", 1, kMaxSamples);
  record.max_tokens = fields.Integer("max_tokens", 1, kMaxTokens);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

}  // namespace anvilcroft
