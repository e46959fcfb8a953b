#include "anvilcroft/config_document.h"

#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/name.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxZones = 64;

tl::unexpected<Error> Invalid(const Error& error) {
  return Fail(ErrorCode::kInvalidPatch, error.message, error.part);
}

}  // namespace

ConfigDocument::ConfigDocument()
    : json({{"deployments", nlohmann::json::object()},
            {"drained_targets", nlohmann::json::object()}}) {}

Result<ConfigDocument> ConfigDocument::Decode(uint64_t version, const nlohmann::json& json) {
  ConfigDocument document;
  document.version = version;
  document.json = json;
  if (DumpJson(json).size() > kMaxBytes) {
    return Fail(ErrorCode::kInvalidPatch, "the configuration document is too large");
  }
  JsonFields fields(json, "");
  for (const auto& [name, body] : fields.Object("deployments").items()) {
    JsonFields deployment(body, "deployments." + name);
    if (!IsName(name)) deployment.RecordError("", std::string("must have a name of ") + kNameRule);
    document.zones[name] = deployment.Strings("zones", kMaxZones);
    if (document.zones[name].empty())
      deployment.RecordError("zones", "must name at least one zone");
    for (const std::string& zone : document.zones[name]) {
      if (!IsName(zone))
        deployment.RecordError("zones", std::string("must hold names of ") + kNameRule);
    }
    for (const auto& [service_name, service_body] : deployment.Object("services").items()) {
      auto service = DecodeServiceConfig(name, service_name, service_body);
      if (!service) return Invalid(service.error());
      if (!document.services.emplace(service_name, std::move(*service)).second) {
        return Fail(ErrorCode::kInvalidPatch, "another deployment has a service of this name",
                    "deployments." + name + ".services." + service_name);
      }
    }
    deployment.RejectUnknownFields();
    if (const auto read = deployment.Finish(); !read) return Invalid(read.error());
  }
  const nlohmann::json& drained_targets = fields.Optional("drained_targets");
  if (!drained_targets.is_null() && !drained_targets.is_object()) {
    fields.RecordError("drained_targets", "must be an object");
  }
  for (const auto& [target, drained] : drained_targets.items()) {
    if (!drained.is_boolean()) fields.RecordError("drained_targets", "must hold true or false");
    if (drained == true) document.drained.insert(target);
  }
  fields.RejectUnknownFields();
  if (const auto read = fields.Finish(); !read) return Invalid(read.error());
  return document;
}

Result<ConfigDocument> ConfigDocument::Apply(const nlohmann::json& patch,
                                             uint64_t new_version) const {
  nlohmann::json next = this->json;
  next.merge_patch(patch);
  return Decode(new_version, next);
}

const ServiceConfig* ConfigDocument::FindService(const std::string& name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

const std::vector<std::string>& ConfigDocument::ZonesOf(const std::string& deployment) const {
  static const std::vector<std::string> none;
  const auto found = this->zones.find(deployment);
  return found == this->zones.end() ? none : found->second;
}

bool ConfigDocument::Drained(const std::string& target_id) const {
  return this->drained.count(target_id) != 0;
}

}  // namespace anvilcroft
