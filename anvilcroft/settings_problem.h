#ifndef ANVILCROFT_SETTINGS_PROBLEM_H_
#define ANVILCROFT_SETTINGS_PROBLEM_H_

// A problem in a settings file, with its location, for the author of the file.
//
//   instance.yaml:7: api_address: found "localhost:80", expected an IP address and a port

#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

namespace anvilcroft {

struct SettingsProblem {
  std::string file;
  int line = 0;          // 1 for the first line; 0 if the problem has no line
  std::string key;       // path of the key, "timing.lease_s"; empty for the whole file
  std::string found;     // what the file contains; text from the file is quoted
  std::string expected;  // what the file should contain

  // Formats the problem as one line of text without control characters.
  std::string ToString() const;

  // {file, line, key, found, expected}.
  nlohmann::json ToJson() const;

  friend bool operator==(const SettingsProblem& a, const SettingsProblem& b) {
    return a.Tie() == b.Tie();
  }
  friend bool operator!=(const SettingsProblem& a, const SettingsProblem& b) { return !(a == b); }
  // Orders by file, then by line.
  friend bool operator<(const SettingsProblem& a, const SettingsProblem& b) {
    return a.Tie() < b.Tie();
  }

 private:
  std::tuple<const std::string&, const int&, const std::string&, const std::string&,
             const std::string&>
  Tie() const {
    return std::tie(this->file, this->line, this->key, this->found, this->expected);
  }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SETTINGS_PROBLEM_H_
