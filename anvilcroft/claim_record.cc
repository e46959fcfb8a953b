#include "anvilcroft/claim_record.h"

#include "anvilcroft/json.h"

namespace anvilcroft {

const char* ClaimStateName(ClaimRecord::State state) {
  switch (state) {
    case ClaimRecord::State::kClaimed:
      return "claimed";
    case ClaimRecord::State::kDone:
      return "done";
    case ClaimRecord::State::kUnknown:
      return "unknown";
    case ClaimRecord::State::kReleased:
      return "released";
  }
  return "unknown";
}

nlohmann::json EncodeClaim(const ClaimRecord& record) {
  nlohmann::json value = {{"state", ClaimStateName(record.state)},
                          {"instance", record.instance},
                          {"nonce", record.nonce},
                          {"fingerprint", record.fingerprint},
                          {"request_id", record.request_id},
                          {"at_ms", record.at_ms}};
  if (record.state != ClaimRecord::State::kDone) return value;
  value["status"] = record.status;
  value["content_type"] = record.content_type;
  value["target"] = record.target;
  if (record.body_omitted || record.body.size() > kMaxRecordedBody) {
    value["body_omitted"] = true;
  } else {
    value["body"] = record.body;
  }
  return value;
}

Result<ClaimRecord> DecodeClaim(const nlohmann::json& value) {
  JsonFields fields(value, "claim");
  ClaimRecord record;
  const std::string state = fields.String("state");
  if (state == "done") {
    record.state = ClaimRecord::State::kDone;
  } else if (state == "unknown") {
    record.state = ClaimRecord::State::kUnknown;
  } else if (state == "released") {
    record.state = ClaimRecord::State::kReleased;
  } else if (state != "claimed") {
    fields.RecordError("state", "must be claimed, done, unknown or released");
  }
  record.instance = fields.String("instance");
  record.nonce = fields.String("nonce");
  record.fingerprint = fields.String("fingerprint");
  record.request_id = fields.StringOr("request_id", "");
  record.at_ms = fields.IntegerOr("at_ms", 0, 0, INT64_MAX);
  if (record.state == ClaimRecord::State::kDone) {
    record.status = fields.Integer("status", 100, 999);
    record.content_type = fields.StringOr("content_type", "application/json");
    record.target = fields.StringOr("target", "");
    record.body = fields.StringOr("body", "", kMaxRecordedBody);
    record.body_omitted = fields.BoolOr("body_omitted", false);
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

}  // namespace anvilcroft
