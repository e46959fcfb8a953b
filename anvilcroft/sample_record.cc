#include "anvilcroft/sample_record.h"

#include "anvilcroft/group_id.h"
#include "anvilcroft/json.h"

namespace anvilcroft {

const char* SampleRecord::StateName() const {
  switch (this->state) {
    case State::kReady:
      return "ready";
    case State::kTaken:
      return "taken";
    case State::kRegenerate:
      return "regenerate";
  }
  return "regenerate";
}

nlohmann::json SampleRecord::Encode() const {
  return {{"state", this->StateName()}, {"attempt", this->attempt}, {"take_id", this->take_id}};
}

Result<SampleRecord> SampleRecord::Decode(const nlohmann::json& value) {
  JsonFields fields(value, "sample");
  SampleRecord record;
  const std::string state = fields.String("state");
  if (state == "taken") {
    record.state = State::kTaken;
  } else if (state == "regenerate") {
    record.state = State::kRegenerate;
  } else if (state != "ready") {
    fields.RecordError("state", "must be ready, taken or regenerate");
  }
  record.attempt = fields.Integer("attempt", 1, INT32_MAX);
  record.take_id = fields.StringOr("take_id", "", GroupId::kMaxNameBytes);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

}  // namespace anvilcroft
