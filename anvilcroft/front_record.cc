#include "anvilcroft/front_record.h"

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

constexpr std::size_t kMaxFronts = 10000;

}  // namespace

std::string EncodeFront(const FrontRecord& record) {
  nlohmann::json value = {{"instance", record.instance},
                          {"zone", record.zone},
                          {"region", record.region},
                          {"address", record.address},
                          {"internal", record.internal_address},
                          {"cpu_share", record.cpu_share},
                          {"leaving", record.leaving},
                          {"cut_off", record.cut_off},
                          {"relays", record.relays},
                          {"written_at", record.written_at}};
  if (record.slices) value["slices"] = true;
  return DumpJson(value);
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
  record.cut_off = fields.BoolOr("cut_off", false);
  record.relays = fields.BoolOr("relays", false);  // absent in entries of older builds
  record.slices = fields.BoolOr("slices", false);  // likewise
  record.written_at = fields.Integer("written_at", 0, INT64_MAX / 2);
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  return record;
}

std::string EncodeHeartbeat(StoreMillis written_at) { return DumpJson(written_at); }

Result<StoreMillis> DecodeHeartbeat(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  if (!parsed->is_number_integer() || parsed->get<double>() < 0 ||
      parsed->get<double>() > static_cast<double>(INT64_MAX / 2)) {
    return Fail(ErrorCode::kInvalidArgument, "must be a time in ms", "heartbeat");
  }
  return parsed->get<StoreMillis>();
}

std::string EncodeWatch(const FrontWatch& watch) {
  return DumpJson({{"watcher", watch.watcher}, {"round", watch.round}, {"down", watch.down}});
}

Result<FrontWatch> DecodeWatch(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "watch");
  FrontWatch watch;
  watch.watcher = fields.String("watcher");
  watch.round = fields.Integer("round", 0, INT64_MAX / 2);
  for (const std::string& id : fields.Strings("down", kMaxFronts)) watch.down.insert(id);
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  return watch;
}

}  // namespace anvilcroft
