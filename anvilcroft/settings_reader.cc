#include "anvilcroft/settings_reader.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "anvilcroft/name.h"

namespace anvilcroft {
namespace {

using Kind = YamlTree::Kind;

constexpr std::size_t kMaxScalarBytesInMessage = 60;

std::string Join(const std::string& section, const std::string& key) {
  return section.empty() ? key : section + "." + key;
}

std::string LastPart(const std::string& path) { return path.substr(path.rfind('.') + 1); }

// Levenshtein distance.
std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row[b.size()];
}

std::string DescribeNode(const YamlTree& node) {
  switch (node.kind) {
    case Kind::kNull:
      return "no value";
    case Kind::kSequence:
      return "a list";
    case Kind::kMap:
      return "a map";
    case Kind::kScalar:
      break;
  }
  const bool truncated = node.scalar.size() > kMaxScalarBytesInMessage;
  const std::string text =
      "\"" + node.scalar.substr(0, kMaxScalarBytesInMessage) + (truncated ? "..." : "") + "\"";
  // Distinguishes "true" from true and "5" from 5.
  return node.quoted ? "the quoted text " + text : text;
}

}  // namespace

std::string FormatDecimal(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

SettingsReader::SettingsReader(const YamlTree& root, std::string file,
                               std::vector<std::string> known_keys,
                               std::vector<std::string> sections)
    : file(std::move(file)), known_keys(std::move(known_keys)), sections(std::move(sections)) {
  if (root.kind == Kind::kMap) {
    this->CollectValues(root, "");
  } else {
    this->Report(root, "", "a map of settings");
  }
}

void SettingsReader::Report(const YamlTree& node, const std::string& key, std::string expected) {
  this->Report(node.line, key, DescribeNode(node), std::move(expected));
}

void SettingsReader::Report(int line, const std::string& key, std::string found,
                            std::string expected) {
  this->problems.push_back(
      SettingsProblem{this->file, line, key, std::move(found), std::move(expected)});
}

std::string SettingsReader::Name(const std::string& key, bool required) {
  const YamlTree* node = this->Find(key, required);
  if (node == nullptr) return "";
  const std::string& text = node->scalar;
  if (node->kind != Kind::kScalar || !IsName(text)) {
    this->Report(*node, key, kNameRule);
    return "";
  }
  return text;
}

std::optional<Endpoint> SettingsReader::Address(const std::string& key, bool allow_port_zero,
                                                bool required) {
  const YamlTree* node = this->Find(key, required);
  return node == nullptr ? std::nullopt : this->Address(*node, key, allow_port_zero);
}

std::optional<Endpoint> SettingsReader::Address(const YamlTree& node, const std::string& key,
                                                bool allow_port_zero) {
  if (node.kind == Kind::kScalar) {
    const auto endpoint = ParseEndpoint(node.scalar);
    if (endpoint && (endpoint->ip == "0.0.0.0" || endpoint->ip == "::")) {
      this->Report(node, key, "an IP address that other hosts can connect to");
      return std::nullopt;
    }
    if (endpoint && endpoint->port == 0 && !allow_port_zero) {
      this->Report(node, key, "a port from 1 to 65535");
      return std::nullopt;
    }
    if (endpoint) return *endpoint;
  }
  this->Report(node, key, "an IP address and a port");
  return std::nullopt;
}

std::vector<std::pair<Endpoint, int>> SettingsReader::Addresses(const std::string& key,
                                                                std::size_t max_count) {
  std::vector<std::pair<Endpoint, int>> addresses;
  const YamlTree* node = this->Find(key, false);
  if (node == nullptr) return addresses;
  if (node->kind != Kind::kSequence || node->children.size() > max_count) {
    this->Report(*node, key, "a list of at most " + std::to_string(max_count) + " addresses");
    return addresses;
  }
  for (const YamlTree& child : node->children) {
    const auto address = this->Address(child, key, false);
    if (address) addresses.emplace_back(*address, child.line);
  }
  return addresses;
}

bool SettingsReader::Bool(const std::string& key, bool fallback) {
  const YamlTree* node = this->Find(key, false);
  if (node == nullptr) return fallback;
  const bool is_plain = node->kind == Kind::kScalar && !node->quoted;
  if (!is_plain || (node->scalar != "true" && node->scalar != "false")) {
    this->Report(*node, key, "true or false");
    return fallback;
  }
  return node->scalar == "true";
}

bool SettingsReader::Contains(const std::string& key, const std::string& word) {
  const YamlTree* node = this->Find(key, false);
  if (node == nullptr) return false;
  const auto is_word = [](const YamlTree& child) { return child.kind == Kind::kScalar; };
  if (node->kind != Kind::kSequence ||
      !std::all_of(node->children.begin(), node->children.end(), is_word)) {
    if (!this->HasProblem(key)) this->Report(*node, key, "a list of words");
    return false;
  }
  return std::any_of(node->children.begin(), node->children.end(),
                     [&word](const YamlTree& child) { return child.scalar == word; });
}

LogLevel SettingsReader::Level(const std::string& key, LogLevel fallback) {
  static const std::map<std::string, LogLevel> levels = {{"debug", LogLevel::kDebug},
                                                         {"info", LogLevel::kInfo},
                                                         {"warning", LogLevel::kWarning},
                                                         {"error", LogLevel::kError}};
  const YamlTree* node = this->Find(key, false);
  if (node == nullptr) return fallback;
  const auto found = levels.find(node->kind == Kind::kScalar ? node->scalar : "");
  if (found == levels.end()) {
    this->Report(*node, key, "debug, info, warning or error");
    return fallback;
  }
  return found->second;
}

Duration SettingsReader::Seconds(const std::string& key, Duration fallback, double min,
                                 double max) {
  const YamlTree* node = this->Find(key, false);
  if (node == nullptr) return fallback;
  const auto number = this->ParseNumber(*node);
  if (!number || *number < min || *number > max) {
    this->Report(*node, key,
                 "a number of seconds from " + FormatDecimal(min) + " to " + FormatDecimal(max));
    return fallback;
  }
  return milliseconds(static_cast<int64_t>(std::llround(*number * 1000)));
}

Duration SettingsReader::Millis(const std::string& key, Duration fallback, double min, double max) {
  const auto count = std::chrono::duration<double, std::milli>(
      this->Real(key, std::chrono::duration<double, std::milli>(fallback).count(), min, max));
  return std::chrono::duration_cast<Duration>(count);
}

double SettingsReader::Real(const std::string& key, double fallback, double min, double max) {
  const YamlTree* node = this->Find(key, false);
  if (node == nullptr) return fallback;
  const auto number = ParseNumber(*node);
  if (!number || *number < min || *number > max) {
    this->Report(*node, key, "a number from " + FormatDecimal(min) + " to " + FormatDecimal(max));
    return fallback;
  }
  return *number;
}

int SettingsReader::LineOf(const std::string& key) const {
  const auto found = this->values.find(key);
  if (found != this->values.end()) return found->second->line;
  const std::size_t dot = key.rfind('.');
  return dot == std::string::npos ? 0 : this->LineOf(key.substr(0, dot));
}

bool SettingsReader::HasProblem(const std::string& key) const {
  return std::any_of(this->problems.begin(), this->problems.end(),
                     [&](const SettingsProblem& problem) { return problem.key == key; });
}

std::vector<SettingsProblem> SettingsReader::TakeProblems() {
  std::stable_sort(this->problems.begin(), this->problems.end());
  if (this->problems.size() > kMaxSettingsProblems) this->problems.resize(kMaxSettingsProblems);
  return std::move(this->problems);
}

void SettingsReader::CollectValues(const YamlTree& map, const std::string& section) {
  std::map<std::string, int> first_lines;
  for (std::size_t i = 0; i + 1 < map.children.size(); i += 2) {
    const YamlTree& key = map.children[i];
    const YamlTree& value = map.children[i + 1];
    if (key.kind != Kind::kScalar) {
      this->Report(key, section, "a scalar as the key");
      continue;
    }
    const std::string path = Join(section, key.scalar);
    const auto [first, is_first] = first_lines.emplace(key.scalar, key.line);
    if (!is_first) {
      this->Report(key.line, path, "a duplicate key",
                   "one entry; the key is already set on line " + std::to_string(first->second));
      continue;
    }
    const bool is_known =
        key.scalar.find('.') == std::string::npos &&
        std::find(this->known_keys.begin(), this->known_keys.end(), path) != this->known_keys.end();
    if (!is_known) {
      this->Report(key.line, path, "an unknown key",
                   this->ExpectedForUnknownKey(section, key.scalar));
    } else if (!this->IsSection(path)) {
      this->values.emplace(path, &value);
    } else if (value.kind == Kind::kMap) {
      this->values.emplace(path, &value);
      this->CollectValues(value, path);
    } else {
      this->Report(value, path, "a map");
    }
  }
}

bool SettingsReader::IsSection(const std::string& path) const {
  return std::find(this->sections.begin(), this->sections.end(), path) != this->sections.end();
}

const YamlTree* SettingsReader::Find(const std::string& key, bool required) {
  const auto found = this->values.find(key);
  if (found != this->values.end()) return found->second;
  if (required) this->Report(this->LineOf(key), key, "nothing", "a value; this key is required");
  return nullptr;
}

std::optional<double> SettingsReader::ParseNumber(const YamlTree& node) {
  const std::string& text = node.scalar;
  // Only plain decimals are accepted: no sign, exponent, hexadecimal notation, infinity or NaN.
  const bool is_plain = node.kind == Kind::kScalar && !node.quoted && !text.empty() &&
                        text.size() <= 20 &&
                        text.find_first_not_of("0123456789.") == std::string::npos &&
                        std::count(text.begin(), text.end(), '.') <= 1 && text != ".";
  if (!is_plain) return std::nullopt;
  return std::strtod(text.c_str(), nullptr);
}

std::string SettingsReader::ExpectedForUnknownKey(const std::string& section,
                                                  const std::string& key) const {
  std::string nearest;
  std::size_t best_rank = 0;
  for (const std::string& known_key : this->known_keys) {
    if (key.size() > kMaxNameBytes) break;
    const std::size_t distance = EditDistance(key, LastPart(known_key));
    if (distance > key.size() / 3 + 1) continue;
    // At equal distance, a key of the same section is preferred.
    const bool same_section = known_key == Join(section, LastPart(known_key));
    const std::size_t rank = 2 * distance + (same_section ? 0 : 1);
    if (nearest.empty() || rank < best_rank) {
      best_rank = rank;
      nearest = known_key;
    }
  }
  if (!nearest.empty()) return "the known key " + nearest;
  std::string list;
  for (const std::string& known_key : this->known_keys) {
    if (known_key != Join(section, LastPart(known_key))) continue;
    list += (list.empty() ? "" : ", ") + LastPart(known_key);
  }
  return "one of " + list;
}

}  // namespace anvilcroft
