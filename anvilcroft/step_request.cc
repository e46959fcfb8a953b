#include "anvilcroft/step_request.h"

#include <set>
#include <utility>

#include "anvilcroft/hash.h"
#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

Result<GroupRecord> DecodeGroup(const StepRequest& step, const nlohmann::json& body,
                                const std::string& path) {
  JsonFields fields(body, path);
  GroupRecord record;
  record.id = GroupId{step.trainer, step.step, fields.String("group", GroupId::kMaxNameBytes)};
  record.service = step.service;
  record.operation = step.operation;
  record.judge = step.judge;
  record.prompt = fields.String("prompt", GroupRecord::kMaxPromptBytes);
  record.samples = fields.Integer("samples", 1, GroupRecord::kMaxSamples);
  record.max_tokens = fields.Integer("max_tokens", 1, GroupRecord::kMaxTokens);
  fields.RejectUnknownFields();
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

}  // namespace

int64_t StepRequest::Samples() const {
  int64_t samples = 0;
  for (const GroupRecord& group : this->groups) samples += group.samples;
  return samples;
}

std::string StepRequest::Fingerprint() const {
  nlohmann::json all = nlohmann::json::array();
  for (const GroupRecord& group : this->groups) all.push_back(group.Encode());
  return HexDigest(DumpJson(all));
}

Result<StepRequest> StepRequest::Decode(const std::string& trainer, const nlohmann::json& body) {
  JsonFields fields(body, "");
  StepRequest step;
  step.trainer = trainer;
  step.step = fields.Integer("step", 0, INT64_MAX);
  step.service = fields.String("service", GroupId::kMaxNameBytes);
  step.operation = fields.String("operation", GroupId::kMaxNameBytes);
  step.judge = fields.String("judge", GroupId::kMaxNameBytes);
  std::set<std::string> names;
  for (const nlohmann::json& item : fields.Array("groups", kMaxGroups)) {
    const std::string path = "groups[" + std::to_string(step.groups.size()) + "]";
    auto group = DecodeGroup(step, item, path);
    if (!group) return tl::unexpected<Error>(group.error());
    if (!names.insert(group->id.group).second) {
      return Fail(ErrorCode::kInvalidArgument, "duplicate group name", path + ".group");
    }
    step.groups.push_back(std::move(*group));
  }
  if (fields.Ok() && step.groups.empty()) fields.RecordError("groups", "must not be empty");
  fields.RejectUnknownFields();
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  if (step.Samples() > kMaxSamples) {
    return Fail(ErrorCode::kTooLarge, "more than " + std::to_string(kMaxSamples) + " samples",
                "groups");
  }
  return step;
}

}  // namespace anvilcroft
