#include "anvilcroft/config_entry.h"

#include "anvilcroft/json.h"

namespace anvilcroft {

std::string ConfigLogKey(uint64_t version) {
  const std::string digits = std::to_string(version);
  constexpr std::size_t kDigits = 12;
  return digits.size() < kDigits ? std::string(kDigits - digits.size(), '0') + digits : digits;
}

nlohmann::json EncodeConfigEntry(const ConfigEntry& entry) {
  return {{"version", entry.version}, {"base", entry.base},   {"patch_id", entry.patch_id},
          {"author", entry.author},   {"patch", entry.patch}, {"at_ms", entry.at_ms}};
}

Result<ConfigEntry> DecodeConfigEntry(const nlohmann::json& value) {
  JsonFields fields(value, "entry");
  ConfigEntry entry;
  entry.version = static_cast<uint64_t>(fields.Integer("version", 1, INT64_MAX));
  entry.base = static_cast<uint64_t>(fields.Integer("base", 0, INT64_MAX));
  entry.patch_id = fields.String("patch_id", 128);
  entry.author = fields.StringOr("author", "", 128);
  entry.patch = fields.Object("patch");
  entry.at_ms = fields.IntegerOr("at_ms", 0, 0, INT64_MAX);
  if (entry.version != entry.base + 1) fields.RecordError("base", "must be one less than version");
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return entry;
}

}  // namespace anvilcroft
