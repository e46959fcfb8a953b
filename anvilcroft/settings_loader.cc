#include "anvilcroft/settings_loader.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/input_file.h"
#include "anvilcroft/name.h"
#include "anvilcroft/yaml_tree.h"

namespace anvilcroft {
namespace {

using Kind = YamlTree::Kind;

constexpr std::size_t kMaxSeeds = 64;
constexpr std::size_t kMaxShownBytes = 60;

// Every key that may occur; a section's own name stands here too.
const std::vector<std::string>& KnownKeys() {
  static const std::vector<std::string> keys = {"instance_id",
                                                "zone",
                                                "region",
                                                "api_address",
                                                "peer_address",
                                                "platform",
                                                "platform.table",
                                                "platform.objects",
                                                "platform.instances",
                                                "seeds",
                                                "log",
                                                "log.level",
                                                "log.tracing",
                                                "timing",
                                                "timing.stop_limit_s",
                                                "timing.address_ttl_s",
                                                "timing.lease_s",
                                                "timing.lease_renewal_s",
                                                "timing.head_poll_s",
                                                "timing.instance_list_poll_s"};
  return keys;
}

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

// What an unknown key was probably meant to be.
std::string ExpectedInsteadOf(const std::string& section, const std::string& key) {
  std::string nearest;
  std::size_t least = 0;
  for (const std::string& known : KnownKeys()) {
    if (key.size() > kMaxNameBytes) break;
    const std::size_t distance = EditDistance(key, LastPart(known));
    if (distance > key.size() / 3 + 1) continue;
    // A key of the same section wins over an equally near one of another section.
    const bool same_section = known == Join(section, LastPart(known));
    const std::size_t rank = 2 * distance + (same_section ? 0 : 1);
    if (nearest.empty() || rank < least) {
      least = rank;
      nearest = known;
    }
  }
  if (!nearest.empty()) return "the known key " + nearest;
  std::string list;
  for (const std::string& known : KnownKeys()) {
    if (known != Join(section, LastPart(known))) continue;
    list += (list.empty() ? "" : ", ") + LastPart(known);
  }
  return "one of " + list;
}

std::string Shown(const YamlTree& node) {
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
  const bool cut = node.scalar.size() > kMaxShownBytes;
  const std::string text = "\"" + node.scalar.substr(0, kMaxShownBytes) + (cut ? "..." : "") + "\"";
  // Tells "true" from true, and "5" from 5.
  return node.quoted ? "the quoted text " + text : text;
}

std::string Decimal(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

// Reads typed values by the path of their key and keeps the problems.
class Reader {
 public:
  Reader(const YamlTree& root, std::string file) : file(std::move(file)) {
    if (root.kind == Kind::kMap) {
      this->Collect(root, "");
    } else {
      this->Report(root, "", "a map of settings");
    }
  }

  void Report(const YamlTree& node, const std::string& key, std::string expected) {
    this->Report(node.line, key, Shown(node), std::move(expected));
  }

  void Report(int line, const std::string& key, std::string found, std::string expected) {
    this->problems.push_back(
        SettingsProblem{this->file, line, key, std::move(found), std::move(expected)});
  }

  std::string Name(const std::string& key, bool required) {
    const YamlTree* node = this->Find(key, required);
    if (node == nullptr) return "";
    const std::string& text = node->scalar;
    if (node->kind != Kind::kScalar || !IsName(text)) {
      this->Report(*node, key, kNameRule);
      return "";
    }
    return text;
  }

  std::optional<Endpoint> Address(const std::string& key, bool port_zero) {
    const YamlTree* node = this->Find(key, true);
    return node == nullptr ? std::nullopt : this->Address(*node, key, port_zero);
  }

  std::optional<Endpoint> Address(const YamlTree& node, const std::string& key, bool port_zero) {
    if (node.kind == Kind::kScalar) {
      const auto endpoint = ParseEndpoint(node.scalar);
      if (endpoint && (endpoint->ip == "0.0.0.0" || endpoint->ip == "::")) {
        this->Report(node, key, "an IP number that others can connect to");
        return std::nullopt;
      }
      if (endpoint && endpoint->port == 0 && !port_zero) {
        this->Report(node, key, "a port from 1 to 65535");
        return std::nullopt;
      }
      if (endpoint) return *endpoint;
    }
    this->Report(node, key, "an IP number and a port");
    return std::nullopt;
  }

  std::vector<std::pair<Endpoint, int>> Addresses(const std::string& key, std::size_t most) {
    std::vector<std::pair<Endpoint, int>> addresses;
    const YamlTree* node = this->Find(key, false);
    if (node == nullptr) return addresses;
    if (node->kind != Kind::kSequence || node->children.size() > most) {
      this->Report(*node, key, "a list of at most " + std::to_string(most) + " addresses");
      return addresses;
    }
    for (const YamlTree& child : node->children) {
      const auto address = this->Address(child, key, false);
      if (address) addresses.emplace_back(*address, child.line);
    }
    return addresses;
  }

  bool Bool(const std::string& key, bool fallback) {
    const YamlTree* node = this->Find(key, false);
    if (node == nullptr) return fallback;
    const bool plain = node->kind == Kind::kScalar && !node->quoted;
    if (!plain || (node->scalar != "true" && node->scalar != "false")) {
      this->Report(*node, key, "true or false");
      return fallback;
    }
    return node->scalar == "true";
  }

  LogLevel Level(const std::string& key, LogLevel fallback) {
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

  // A number of seconds from `min` to `max`, to the millisecond.
  Duration Seconds(const std::string& key, Duration fallback, double min, double max) {
    const YamlTree* node = this->Find(key, false);
    if (node == nullptr) return fallback;
    const auto number = this->Number(*node);
    if (!number || *number < min || *number > max) {
      this->Report(*node, key, "a number of seconds from " + Decimal(min) + " to " + Decimal(max));
      return fallback;
    }
    return milliseconds(static_cast<int64_t>(std::llround(*number * 1000)));
  }

  // The line of `key`, or of its section, or 0.
  int LineOf(const std::string& key) const {
    const auto found = this->values.find(key);
    if (found != this->values.end()) return found->second->line;
    const std::size_t dot = key.rfind('.');
    return dot == std::string::npos ? 0 : this->LineOf(key.substr(0, dot));
  }

  // Whether a problem with `key` has been reported.
  bool Refused(const std::string& key) const {
    return std::any_of(this->problems.begin(), this->problems.end(),
                       [&](const SettingsProblem& problem) { return problem.key == key; });
  }

  std::vector<SettingsProblem> TakeProblems() {
    std::stable_sort(this->problems.begin(), this->problems.end());
    if (this->problems.size() > kMaxSettingsProblems) this->problems.resize(kMaxSettingsProblems);
    return std::move(this->problems);
  }

 private:
  // Files the values of a map under their paths; `section` is the path of the map.
  void Collect(const YamlTree& map, const std::string& section) {
    std::map<std::string, int> first_lines;
    for (std::size_t i = 0; i + 1 < map.children.size(); i += 2) {
      const YamlTree& key = map.children[i];
      const YamlTree& value = map.children[i + 1];
      if (key.kind != Kind::kScalar) {
        this->Report(key, section, "a key that is a word");
        continue;
      }
      const std::string path = Join(section, key.scalar);
      const auto [first, is_first] = first_lines.emplace(key.scalar, key.line);
      if (!is_first) {
        this->Report(key.line, path, "the key again",
                     "one entry, as on line " + std::to_string(first->second));
        continue;
      }
      const auto& known = KnownKeys();
      const bool is_known = key.scalar.find('.') == std::string::npos &&
                            std::find(known.begin(), known.end(), path) != known.end();
      if (!is_known) {
        this->Report(key.line, path, "an unknown key", ExpectedInsteadOf(section, key.scalar));
      } else if (!IsSection(path)) {
        this->values.emplace(path, &value);
      } else if (value.kind == Kind::kMap) {
        this->values.emplace(path, &value);
        this->Collect(value, path);
      } else {
        this->Report(value, path, "a map");
      }
    }
  }

  static bool IsSection(const std::string& path) {
    return path == "platform" || path == "log" || path == "timing";
  }

  const YamlTree* Find(const std::string& key, bool required) {
    const auto found = this->values.find(key);
    if (found != this->values.end()) return found->second;
    if (required) this->Report(this->LineOf(key), key, "nothing", "a value; this key is required");
    return nullptr;
  }

  static std::optional<double> Number(const YamlTree& node) {
    const std::string& text = node.scalar;
    // Only plain decimals: no sign, exponent, hexadecimal form, infinity or NaN.
    const bool plain = node.kind == Kind::kScalar && !node.quoted && !text.empty() &&
                       text.size() <= 20 &&
                       text.find_first_not_of("0123456789.") == std::string::npos &&
                       std::count(text.begin(), text.end(), '.') <= 1 && text != ".";
    if (!plain) return std::nullopt;
    return std::strtod(text.c_str(), nullptr);
  }

  std::string file;
  std::map<std::string, const YamlTree*> values;
  std::vector<SettingsProblem> problems;
};

void CheckAddresses(Reader& reader, const std::optional<Endpoint>& api,
                    const std::optional<Endpoint>& peer,
                    const std::vector<std::pair<Endpoint, int>>& seeds) {
  if (api && peer && *api == *peer && api->port != 0) {
    reader.Report(reader.LineOf("peer_address"), "peer_address", "\"" + peer->ToString() + "\"",
                  "an address other than api_address");
  }
  std::map<Endpoint, int> first_lines;
  for (const auto& [seed, line] : seeds) {
    const std::string found = "\"" + seed.ToString() + "\"";
    if (peer && seed == *peer) {
      reader.Report(line, "seeds", found, "addresses of other instances, not peer_address");
    }
    const auto [first, is_first] = first_lines.emplace(seed, line);
    if (!is_first) {
      reader.Report(line, "seeds", found,
                    "each address once; it stands on line " + std::to_string(first->second));
    }
  }
}

}  // namespace

SettingsResult ParseSettings(std::string_view text, const std::string& name) {
  const auto one = [&](int line, std::string found, std::string expected) {
    return tl::unexpected<std::vector<SettingsProblem>>(
        {SettingsProblem{name, line, "", std::move(found), std::move(expected)}});
  };
  if (text.size() > kMaxSettingsBytes) {
    return one(0, "a larger file", "at most " + std::to_string(kMaxSettingsBytes) + " bytes");
  }
  const auto tree = ParseYaml(text);
  if (!tree) return one(tree.error().line, tree.error().message, "a YAML map of settings");

  const Settings defaults;
  Reader reader(*tree, name);
  Settings::Builder builder;
  builder.SetInstanceId(reader.Name("instance_id", true))
      .SetZone(reader.Name("zone", true))
      .SetRegion(reader.Name("region", false));
  const auto api = reader.Address("api_address", true);
  const auto peer = reader.Address("peer_address", true);
  const auto seeds = reader.Addresses("seeds", kMaxSeeds);
  const auto to_text = [](const std::optional<Endpoint>& address) {
    return address ? address->ToString() : "";
  };
  std::vector<std::string> seed_texts;
  for (const auto& seed : seeds) seed_texts.push_back(seed.first.ToString());
  builder.SetApiAddress(to_text(api))
      .SetPeerAddress(to_text(peer))
      .SetSeeds(std::move(seed_texts))
      .SetTableAddress(to_text(reader.Address("platform.table", false)))
      .SetObjectAddress(to_text(reader.Address("platform.objects", false)))
      .SetInstanceListAddress(to_text(reader.Address("platform.instances", false)))
      .SetLogLevel(reader.Level("log.level", defaults.MinimumLogLevel()))
      .SetTracing(reader.Bool("log.tracing", defaults.Tracing()));

  // Duties under the lease stop 3 s before it expires, so a lease of 5 s is the shortest that is
  // of use. A poll of the head row slower than 3 s would miss the bound for new configurations.
  const Duration lease = reader.Seconds("timing.lease_s", defaults.LeaseDuration(), 5, 3600);
  const Duration renewal =
      reader.Seconds("timing.lease_renewal_s", defaults.LeaseRenewal(), 0.1, 1200);
  builder.SetLeaseDuration(lease)
      .SetLeaseRenewal(renewal)
      .SetStopLimit(reader.Seconds("timing.stop_limit_s", defaults.StopLimit(), 0, 86400))
      .SetAddressTtl(reader.Seconds("timing.address_ttl_s", defaults.AddressTtl(), 0.1, 3600))
      .SetHeadPoll(reader.Seconds("timing.head_poll_s", defaults.HeadPoll(), 0.1, 3))
      .SetInstanceListPoll(
          reader.Seconds("timing.instance_list_poll_s", defaults.InstanceListPoll(), 0.1, 60));

  if (renewal * 3 > lease && !reader.Refused("timing.lease_s") &&
      !reader.Refused("timing.lease_renewal_s")) {
    const auto text_of = [](Duration duration) {
      return Decimal(static_cast<double>(ToMillis(duration)) / 1000);
    };
    reader.Report(
        std::max(reader.LineOf("timing.lease_renewal_s"), reader.LineOf("timing.lease_s")),
        "timing.lease_renewal_s", "\"" + text_of(renewal) + "\"",
        "at most a third of lease_s, which is " + text_of(lease));
  }
  CheckAddresses(reader, api, peer, seeds);

  auto problems = reader.TakeProblems();
  if (!problems.empty()) return tl::unexpected<std::vector<SettingsProblem>>(std::move(problems));
  return builder.Build();
}

SettingsResult LoadSettings(const std::string& path) {
  const auto text = ReadInputFile(path, kMaxSettingsBytes);
  if (!text) {
    return tl::unexpected<std::vector<SettingsProblem>>({SettingsProblem{
        path, 0, "",
        text.error().code == ErrorCode::kTooLarge ? "a larger file" : "a file that cannot be read",
        "a settings file of at most " + std::to_string(kMaxSettingsBytes) + " bytes"}});
  }
  return ParseSettings(*text, path);
}

}  // namespace anvilcroft
