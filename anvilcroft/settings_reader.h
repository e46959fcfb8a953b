#ifndef ANVILCROFT_SETTINGS_READER_H_
#define ANVILCROFT_SETTINGS_READER_H_

// Reads typed values from a settings file by the path of their key, and collects all problems.
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

// Maximum number of problems reported for one file.
constexpr std::size_t kMaxSettingsProblems = 100;

// Formats `value` in decimal notation without trailing zeros.
std::string FormatDecimal(double value);

class SettingsReader {
 public:
  // `known_keys` lists the paths of all allowed keys, and `sections` those whose value is a map.
  // Unknown and duplicate keys are reported as problems. `root` must outlive the reader.
  SettingsReader(const YamlTree& root, std::string file, std::vector<std::string> known_keys,
                 std::vector<std::string> sections);

  // Adds a problem with `key`. The first overload takes the line and the found value from `node`.
  void Report(const YamlTree& node, const std::string& key, std::string expected);
  void Report(int line, const std::string& key, std::string found, std::string expected);

  // The functions below return the value of `key`. An invalid value or a missing required key is
  // reported as a problem, and the result is then `fallback` or empty.

  // A name that IsName accepts.
  std::string Name(const std::string& key, bool required);
  // An IP address and a port that other hosts can connect to. Port 0 is allowed if
  // `allow_port_zero`.
  std::optional<Endpoint> Address(const std::string& key, bool allow_port_zero,
                                  bool required = true);
  // A list of at most `max_count` addresses, each returned with its line. Invalid elements are
  // skipped.
  std::vector<std::pair<Endpoint, int>> Addresses(const std::string& key, std::size_t max_count);
  bool Bool(const std::string& key, bool fallback);
  // Whether the list of words at `key` contains `word`. The list may contain words that are not
  // known here.
  bool Contains(const std::string& key, const std::string& word);
  LogLevel Level(const std::string& key, LogLevel fallback);
  // A number of seconds from `min` to `max`, rounded to milliseconds.
  Duration Seconds(const std::string& key, Duration fallback, double min, double max);
  // A number of milliseconds from `min` to `max`.
  Duration Millis(const std::string& key, Duration fallback, double min, double max);
  // A number from `min` to `max`.
  double Real(const std::string& key, double fallback, double min, double max);

  // Returns the line of the value of `key`, else that of its section, else 0.
  int LineOf(const std::string& key) const;
  // Returns whether a problem with `key` has been reported.
  bool HasProblem(const std::string& key) const;
  // Moves out the problems, sorted by line and at most kMaxSettingsProblems of them.
  std::vector<SettingsProblem> TakeProblems();

 private:
  // Adds the values of `map` to `values` under their paths; `section` is the path of `map`.
  void CollectValues(const YamlTree& map, const std::string& section);
  bool IsSection(const std::string& path) const;
  std::optional<Endpoint> Address(const YamlTree& node, const std::string& key,
                                  bool allow_port_zero);
  std::string ExpectedForUnknownKey(const std::string& section, const std::string& key) const;
  const YamlTree* Find(const std::string& key, bool required);
  static std::optional<double> ParseNumber(const YamlTree& node);

  std::string file;
  std::vector<std::string> known_keys;
  std::vector<std::string> sections;
  std::map<std::string, const YamlTree*> values;
  std::vector<SettingsProblem> problems;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SETTINGS_READER_H_
