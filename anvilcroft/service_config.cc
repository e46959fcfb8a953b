#include "anvilcroft/service_config.h"

#include "anvilcroft/json.h"
#include "anvilcroft/name.h"

namespace anvilcroft {

const char* TargetKindName(TargetKind kind) {
  switch (kind) {
    case TargetKind::kModelEngine:
      return "model_engine";
    case TargetKind::kAppEngine:
      return "app_engine";
    case TargetKind::kJudge:
      return "judge";
  }
  return "app_engine";
}

Result<TargetKind> ParseTargetKind(const std::string& name) {
  for (const TargetKind kind :
       {TargetKind::kModelEngine, TargetKind::kAppEngine, TargetKind::kJudge}) {
    if (name == TargetKindName(kind)) return kind;
  }
  return Fail(ErrorCode::kInvalidArgument, "must be model_engine, app_engine or judge", "kind");
}

const OperationConfig* ServiceConfig::FindOperation(const std::string& operation) const {
  const auto found = this->operations.find(operation);
  return found == this->operations.end() ? nullptr : &found->second;
}

Result<ServiceConfig> DecodeServiceConfig(const std::string& deployment, const std::string& name,
                                          const nlohmann::json& value) {
  const std::string path = "deployments." + deployment + ".services." + name;
  JsonFields fields(value, path);
  ServiceConfig service;
  service.name = name;
  service.deployment = deployment;
  if (!IsName(name)) fields.RecordError("", std::string("must have a name of ") + kNameRule);
  const auto kind = ParseTargetKind(fields.String("kind"));
  if (kind) {
    service.kind = *kind;
  } else {
    fields.RecordError("kind", kind.error().message);
  }
  for (const auto& [operation, body] : fields.Object("operations").items()) {
    JsonFields inner(body, path + ".operations." + operation);
    if (!IsName(operation)) inner.RecordError("", std::string("must have a name of ") + kNameRule);
    OperationConfig config;
    config.path = inner.String("path");
    config.repeatable = inner.Bool("repeatable");
    if (inner.Ok() && config.path.front() != '/') inner.RecordError("path", "must begin with /");
    inner.RejectUnknownFields();
    if (const auto read = inner.Finish(); !read) return tl::unexpected<Error>(read.error());
    service.operations.emplace(operation, config);
  }
  service.max_in_flight = fields.IntegerOr("max_in_flight", service.max_in_flight, 1, 100000);
  service.max_queued = fields.IntegerOr("max_queued", service.max_queued, 0, 100000);
  service.short_max_tokens =
      fields.IntegerOr("short_max_tokens", service.short_max_tokens, 0, 1000000);
  service.short_reserve = fields.NumberOr("short_reserve", service.short_reserve, 0, 0.9);
  service.downloads_per_second =
      fields.NumberOr("downloads_per_second", service.downloads_per_second, 0.01, 100000);
  service.swap_seconds = fields.NumberOr("swap_seconds", service.swap_seconds, 0.01, 600);
  service.max_swapping = fields.NumberOr("max_swapping", service.max_swapping, 0.01, 1);
  service.model = fields.StringOr("model", "");
  fields.RejectUnknownFields();
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return service;
}

}  // namespace anvilcroft
