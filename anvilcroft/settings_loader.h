#ifndef ANVILCROFT_SETTINGS_LOADER_H_
#define ANVILCROFT_SETTINGS_LOADER_H_

// Reads the settings of one instance from YAML.
//
//   const auto settings = LoadSettings("instance.yaml");
//   if (!settings) {
//     for (const auto& problem : settings.error()) std::cerr << problem.ToString() << "\n";
//   }
//
// All problems are reported at once, in the order of the file: malformed YAML (alone), unknown and
// duplicate keys, missing keys, wrong types, values outside their range, and contradictions
// between values. docs/OPERATIONS.md lists the keys with defaults, units and ranges.

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "anvilcroft/settings.h"
#include "anvilcroft/settings_problem.h"
#include "anvilcroft/settings_reader.h"

namespace anvilcroft {

// Largest settings file, bytes.
constexpr std::size_t kMaxSettingsBytes = 256 * 1024;

using SettingsResult = tl::expected<Settings, std::vector<SettingsProblem>>;

// Reads and checks the file at `path`. A file that cannot be read is one problem.
SettingsResult LoadSettings(const std::string& path);

// Reads and checks `text`; `name` stands for the file in problems.
SettingsResult ParseSettings(std::string_view text, const std::string& name);

}  // namespace anvilcroft

#endif  // ANVILCROFT_SETTINGS_LOADER_H_
