#include "anvilcroft/engine_report.h"

#include "anvilcroft/json.h"

namespace anvilcroft {

Result<EngineReport> DecodeEngineReport(const nlohmann::json& value) {
  JsonFields fields(value, "state");
  EngineReport report;
  report.id = fields.String("id");
  report.instance_start = fields.String("instance_start");
  report.model = fields.StringOr("model", "");
  report.weight_version = fields.Integer("weight_version", 0, INT64_MAX);
  report.role = fields.StringOr("role", "");
  report.swapping = fields.BoolOr("swapping", false);
  report.leaving = fields.BoolOr("leaving", false);
  report.checks_fencing = fields.BoolOr("checks_fencing", false);
  report.last_fencing = static_cast<uint64_t>(fields.IntegerOr("last_fencing", 0, 0, INT64_MAX));
  const nlohmann::json& load = fields.Optional("load");
  if (load.is_object()) {
    JsonFields inner(load, "state.load");
    report.running = inner.IntegerOr("running", 0, 0, INT32_MAX);
    report.waiting = inner.IntegerOr("waiting", 0, 0, INT32_MAX);
    report.kv_free = inner.NumberOr("kv_free", 1, 0, 1);
    if (const auto read = inner.Finish(); !read) return tl::unexpected<Error>(read.error());
  }
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return report;
}

}  // namespace anvilcroft
