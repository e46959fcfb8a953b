#include "anvilcroft/step_record.h"

#include "anvilcroft/json.h"
#include "anvilcroft/row_key.h"

namespace anvilcroft {

std::string StepRecord::Key(const std::string& trainer, int64_t step) {
  return RowKey({trainer, std::to_string(step)});
}

nlohmann::json StepRecord::Encode() const {
  return {{"fingerprint", this->fingerprint}, {"samples", this->samples}, {"taken", this->taken}};
}

Result<StepRecord> StepRecord::Decode(const nlohmann::json& value) {
  JsonFields fields(value, "step");
  StepRecord record;
  record.fingerprint = fields.String("fingerprint");
  record.samples = fields.Integer("samples", 1, INT32_MAX);
  record.taken = fields.Integer("taken", 0, INT32_MAX);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

}  // namespace anvilcroft
