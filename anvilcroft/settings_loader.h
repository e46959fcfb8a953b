#ifndef ANVILCROFT_SETTINGS_LOADER_H_
#define ANVILCROFT_SETTINGS_LOADER_H_

// Reads the settings of one instance from YAML.
//
//   const auto settings = LoadSettings("instance.yaml");
//   if (!settings) {
//     for (const auto& problem : settings.error()) std::cerr << problem.ToString() << "\n";
//   }
//
// All problems are reported at once, in the order of the file: unknown, duplicate and missing keys,
// wrong types, values out of range, and contradictions between values. Malformed YAML is reported
// alone. docs/OPERATIONS.md lists the keys with defaults, units and ranges.

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "anvilcroft/settings.h"
#include "anvilcroft/settings_problem.h"
#include "anvilcroft/settings_reader.h"

namespace anvilcroft {

// Maximum size of a settings file in bytes.
constexpr std::size_t kMaxSettingsBytes = 256 * 1024;

using SettingsResult = tl::expected<Settings, std::vector<SettingsProblem>>;

// Reads and validates the file at `path`. A file that can't be read is reported as a problem.
SettingsResult LoadSettings(const std::string& path);

// Parses and validates `text`. Problems name `name` as their file.
SettingsResult ParseSettings(std::string_view text, const std::string& name);

}  // namespace anvilcroft

#endif  // ANVILCROFT_SETTINGS_LOADER_H_
