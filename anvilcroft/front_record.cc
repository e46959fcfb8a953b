#include "anvilcroft/front_record.h"

#include "anvilcroft/json.h"

namespace anvilcroft {

std::string EncodeFront(const FrontRecord& record) {
  return DumpJson({{"instance", record.instance},
                   {"zone", record.zone},
                   {"region", record.region},
                   {"address", record.address},
                   {"internal", record.internal_address},
                   {"cpu_share", record.cpu_share},
                   {"leaving", record.leaving},
                   {"renewed_at", record.renewed_at}});
}

Result<FrontRecord> DecodeFront(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "front");
  FrontRecord record;
  record.instance = fields.String("instance");
  record.zone = fields.StringOr("zone", "");
  record.region = fields.StringOr("region", "");
  record.address = fields.String("address");
  record.internal_address = fields.StringOr("internal", "");
  record.cpu_share = fields.NumberOr("cpu_share", 1, 0, 1e6);
  record.leaving = fields.BoolOr("leaving", false);
  record.renewed_at = fields.Integer("renewed_at", 0, INT64_MAX / 2);
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  return record;
}

}  // namespace anvilcroft
