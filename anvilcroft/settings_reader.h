#ifndef ANVILCROFT_SETTINGS_READER_H_
#define ANVILCROFT_SETTINGS_READER_H_

// Reads typed values of a settings file by the path of their key, and keeps every problem.
//
//   SettingsReader reader(*tree, "instance.yaml", {"zone", "log", "log.level"}, {"log"});
//   const std::string zone = reader.Name("zone", true);
//   const LogLevel level = reader.Level("log.level", LogLevel::kInfo);
//   std::vector<SettingsProblem> problems = reader.TakeProblems();

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/log.h"
#include "anvilcroft/settings_problem.h"
#include "anvilcroft/time.h"
#include "anvilcroft/yaml_tree.h"

namespace anvilcroft {

// Most problems reported for one file.
constexpr std::size_t kMaxSettingsProblems = 100;

// `value` without trailing zeros.
std::string Decimal(double value);

class SettingsReader {
 public:
  // `known` holds the path of every key that may occur; `sections` those that hold a map. Unknown
  // and duplicate keys are problems. `root` must outlive the reader.
  SettingsReader(const YamlTree& root, std::string file, std::vector<std::string> known,
                 std::vector<std::string> sections);

  void Report(const YamlTree& node, const std::string& key, std::string expected);
  void Report(int line, const std::string& key, std::string found, std::string expected);

  std::string Name(const std::string& key, bool required);
  std::optional<Endpoint> Address(const std::string& key, bool port_zero, bool required = true);
  std::vector<std::pair<Endpoint, int>> Addresses(const std::string& key, std::size_t most);
  bool Bool(const std::string& key, bool fallback);
  LogLevel Level(const std::string& key, LogLevel fallback);
  // A number of seconds from `min` to `max`, to the millisecond.
  Duration Seconds(const std::string& key, Duration fallback, double min, double max);
  // A number of milliseconds from `min` to `max`.
  Duration Millis(const std::string& key, Duration fallback, double min, double max);
  double Real(const std::string& key, double fallback, double min, double max);

  // The line of `key`, or of its section, or 0.
  int LineOf(const std::string& key) const;
  // Whether a problem with `key` has been reported.
  bool Refused(const std::string& key) const;
  std::vector<SettingsProblem> TakeProblems();

 private:
  // Files the values of a map under their paths; `section` is the path of the map.
  void Collect(const YamlTree& map, const std::string& section);
  bool IsSection(const std::string& path) const;
  std::optional<Endpoint> Address(const YamlTree& node, const std::string& key, bool port_zero);
  std::string ExpectedInsteadOf(const std::string& section, const std::string& key) const;
  const YamlTree* Find(const std::string& key, bool required);
  static std::optional<double> Number(const YamlTree& node);

  std::string file;
  std::vector<std::string> known;
  std::vector<std::string> sections;
  std::map<std::string, const YamlTree*> values;
  std::vector<SettingsProblem> problems;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SETTINGS_READER_H_
