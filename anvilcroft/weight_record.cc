#include "anvilcroft/weight_record.h"

#include "anvilcroft/json.h"

namespace anvilcroft {

nlohmann::json WeightRecord::Encode() const {
  return {{"service", this->service},
          {"version", this->version},
          {"published_ms", this->published_ms},
          {"uri", this->uri}};
}

Result<WeightRecord> WeightRecord::Decode(const nlohmann::json& value) {
  JsonFields fields(value, "");
  WeightRecord record;
  record.service = fields.String("service", 128);
  record.version = fields.Integer("version", 1, INT64_MAX);
  record.published_ms = fields.IntegerOr("published_ms", 0, 0, INT64_MAX);
  record.uri = fields.StringOr("uri", "", 1024);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

}  // namespace anvilcroft
