#include "anvilcroft/trainer_record.h"

#include <utility>

#include "anvilcroft/group_id.h"
#include "anvilcroft/json.h"

namespace anvilcroft {

nlohmann::json TrainerRecord::Encode() const {
  return {{"trainer", this->trainer},
          {"service", this->service},
          {"weight_version", this->weight_version},
          {"staleness_bound", this->staleness_bound}};
}

Result<TrainerRecord> TrainerRecord::Decode(const nlohmann::json& value) {
  JsonFields fields(value, "");
  TrainerRecord record;
  record.trainer = fields.String("trainer", GroupId::kMaxNameBytes);
  record.service = fields.String("service", GroupId::kMaxNameBytes);
  record.weight_version = fields.Integer("weight_version", 0, INT64_MAX);
  record.staleness_bound = fields.Integer("staleness_bound", 0, INT32_MAX);
  fields.RejectUnknownFields();
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

Result<TrainerRecord> TrainerRecord::DecodeBody(const std::string& trainer, nlohmann::json body) {
  if (!body.is_object()) return Fail(ErrorCode::kInvalidArgument, "must be an object", "body");
  if (body.contains("trainer") && body["trainer"] != trainer) {
    return Fail(ErrorCode::kInvalidArgument, "must match the name in the path", "trainer");
  }
  body["trainer"] = trainer;
  return Decode(body);
}

}  // namespace anvilcroft
