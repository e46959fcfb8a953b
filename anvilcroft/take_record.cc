#include "anvilcroft/take_record.h"

#include "anvilcroft/group_id.h"
#include "anvilcroft/json.h"

namespace anvilcroft {

nlohmann::json TakeRecord::Encode() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, ready] : this->samples) {
    nlohmann::json item = ready.Encode();
    item["sample"] = name;
    list.push_back(std::move(item));
  }
  return {{"take_id", this->take_id},
          {"step", this->step},
          {"samples", list},
          {"remaining", this->remaining}};
}

Result<TakeRecord> TakeRecord::Decode(const nlohmann::json& value) {
  JsonFields fields(value, "take");
  TakeRecord record;
  record.take_id = fields.String("take_id", GroupId::kMaxNameBytes);
  record.step = fields.Integer("step", 0, INT64_MAX);
  record.remaining = fields.Integer("remaining", 0, INT64_MAX);
  for (const nlohmann::json& item : fields.Array("samples", kMaxSamples)) {
    JsonFields inner(item, "take.samples");
    const std::string name = inner.String("sample", 4096);
    if (const auto read = inner.Finish(); !read) return tl::unexpected<Error>(read.error());
    auto ready = ReadyRecord::Decode(item);
    if (!ready) return tl::unexpected<Error>(ready.error());
    record.samples.emplace_back(name, std::move(*ready));
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

}  // namespace anvilcroft
