#include "anvilcroft/group_id.h"

#include <charconv>

#include "anvilcroft/hash.h"
#include "anvilcroft/http_request.h"
#include "anvilcroft/json.h"
#include "anvilcroft/row_key.h"

namespace anvilcroft {
namespace {

bool ParseNumber(const std::string& text, int64_t& number) {
  const char* end = text.data() + text.size();
  const auto [stop, failed] = std::from_chars(text.data(), end, number);
  return failed == std::errc() && stop == end && number >= 0;
}

}  // namespace

int GroupId::Shard() const { return static_cast<int>(StableHash(this->DefinitionKey()) % kShards); }

std::string GroupId::MarkerKey() const {
  return ShardPrefix(this->Shard()) + this->DefinitionKey();
}

std::string GroupId::DefinitionKey() const {
  return RowKey({this->trainer, std::to_string(this->step), this->group});
}

std::string GroupId::SampleKey(int64_t index) const {
  return RowKey({this->trainer, std::to_string(this->step), this->group, std::to_string(index)});
}

std::string GroupId::SamplePrefix() const { return this->DefinitionKey() + "/"; }

std::string GroupId::ShardPrefix(int shard) { return RowKeyPrefix({std::to_string(shard)}); }

std::string GroupId::ShardItem(int shard) { return "group_shard/" + std::to_string(shard); }

nlohmann::json GroupId::Encode() const {
  return {{"trainer", this->trainer}, {"step", this->step}, {"group", this->group}};
}

Result<GroupId> GroupId::Decode(const nlohmann::json& value) {
  JsonFields fields(value, "group");
  GroupId id;
  id.trainer = fields.String("trainer", kMaxNameBytes);
  id.step = fields.Integer("step", 0, INT64_MAX);
  id.group = fields.String("group", kMaxNameBytes);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return id;
}

Result<GroupId> GroupId::ParseSampleKey(const std::string& key, int64_t& index) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= key.size() && parts.size() <= 4) {
    const std::size_t end = std::min(key.find('/', begin), key.size());
    parts.push_back(PercentDecode(key.substr(begin, end - begin), false));
    begin = end + 1;
  }
  GroupId id;
  if (parts.size() != 4 || !ParseNumber(parts[1], id.step) || !ParseNumber(parts[3], index)) {
    return Fail(ErrorCode::kInvalidArgument, "malformed sample key", key);
  }
  id.trainer = parts[0];
  id.group = parts[2];
  return id;
}

}  // namespace anvilcroft
