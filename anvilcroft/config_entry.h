#ifndef ANVILCROFT_CONFIG_ENTRY_H_
#define ANVILCROFT_CONFIG_ENTRY_H_

// One accepted configuration patch: a row of the configuration log. Immutable once accepted.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct ConfigEntry {
  // Maximum size of a patch in bytes of JSON. Together with the whole document it must fit into one
  // transaction of the table service, and by itself into one message between instances (1 MiB
  // each).
  static constexpr std::size_t kMaxPatchBytes = 256 * 1024;

  uint64_t version = 0;  // the version that the patch produced
  uint64_t base = 0;     // the version it was applied to, version - 1
  std::string patch_id;  // chosen by the author; identifies a patch whose answer was lost
  std::string author;    // may be empty
  nlohmann::json patch;  // JSON merge patch (RFC 7386)
  WallMillis at_ms = 0;  // time of acceptance, for display only

  friend bool operator==(const ConfigEntry& a, const ConfigEntry& b) {
    return std::tie(a.version, a.base, a.patch_id, a.author, a.patch, a.at_ms) ==
           std::tie(b.version, b.base, b.patch_id, b.author, b.patch, b.at_ms);
  }
  friend bool operator!=(const ConfigEntry& a, const ConfigEntry& b) { return !(a == b); }
};

// Key of the log row of `version`. Keys sort in the order of versions.
std::string ConfigLogKey(uint64_t version);

nlohmann::json EncodeConfigEntry(const ConfigEntry& entry);

// Fails with kInvalidArgument; the part names the field.
Result<ConfigEntry> DecodeConfigEntry(const nlohmann::json& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_CONFIG_ENTRY_H_
