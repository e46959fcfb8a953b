#ifndef ANVILCROFT_CONFIG_DOCUMENT_H_
#define ANVILCROFT_CONFIG_DOCUMENT_H_

// One version of the configuration: all deployments with their services and limits, and the targets
// that operators drain. Immutable; applying a patch makes a new document.
//
//   Result<ConfigDocument> next = current.Apply(patch, current.Version() + 1);

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/service_config.h"

namespace anvilcroft {

class ConfigDocument {
 public:
  // Maximum size of a document in bytes of JSON. Keeps its row well under the limit of a
  // transaction of the table service (1 MiB).
  static constexpr std::size_t kMaxBytes = 512 * 1024;

  // The empty configuration, version 0.
  ConfigDocument();

  // Decodes and checks `json`. Fails with kInvalidPatch; the part is the path of the field.
  static Result<ConfigDocument> Decode(uint64_t version, const nlohmann::json& json);

  // Applies a JSON merge patch (RFC 7386). Fails as Decode does.
  Result<ConfigDocument> Apply(const nlohmann::json& patch, uint64_t new_version) const;

  uint64_t Version() const { return this->version; }
  const nlohmann::json& Json() const { return this->json; }

  // The service `name` of any deployment, or nullptr. Names are unique across deployments.
  const ServiceConfig* FindService(const std::string& name) const;
  const std::map<std::string, ServiceConfig>& Services() const { return this->services; }

  // Zones of `deployment`, in the order of the document.
  const std::vector<std::string>& ZonesOf(const std::string& deployment) const;

  // Whether operators have marked the target `target_id` as drained.
  bool Drained(const std::string& target_id) const;

  friend bool operator==(const ConfigDocument& a, const ConfigDocument& b) {
    return a.version == b.version && a.json == b.json;
  }
  friend bool operator!=(const ConfigDocument& a, const ConfigDocument& b) { return !(a == b); }

 private:
  uint64_t version = 0;
  nlohmann::json json;
  std::map<std::string, ServiceConfig> services;
  std::map<std::string, std::vector<std::string>> zones;
  std::set<std::string> drained;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CONFIG_DOCUMENT_H_
