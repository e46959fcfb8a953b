#include "anvilcroft/head.h"

#include "anvilcroft/json.h"

namespace anvilcroft {

nlohmann::json EncodeHead(const Head& head) {
  return {{"config_version", head.config_version},
          {"roster_version", head.roster_version},
          {"weights_version", head.weights_version},
          {"roster_zone", head.roster_zone}};
}

Result<Head> DecodeHead(const std::optional<Row>& row) {
  Head head;
  if (!row) return head;
  JsonFields fields(row->value, "head");
  head.config_version = static_cast<uint64_t>(fields.IntegerOr("config_version", 0, 0, INT64_MAX));
  head.roster_version = static_cast<uint64_t>(fields.IntegerOr("roster_version", 0, 0, INT64_MAX));
  head.weights_version =
      static_cast<uint64_t>(fields.IntegerOr("weights_version", 0, 0, INT64_MAX));
  head.roster_zone = fields.StringOr("roster_zone", "");
  head.row_version = row->version;
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return head;
}

}  // namespace anvilcroft
