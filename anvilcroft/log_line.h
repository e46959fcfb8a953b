#ifndef ANVILCROFT_LOG_LINE_H_
#define ANVILCROFT_LOG_LINE_H_

// Parses the lines that log.h writes.

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace anvilcroft {

struct LogLine {
  std::string source;  // text that a log collector put before the time, often the host name
  std::string time;    // UTC, ISO 8601
  std::string level;
  std::string part;
  std::string sentence;
  std::vector<std::pair<std::string, std::string>> fields;

  // Returns the value of the first field named `key`, or "" if there is none.
  std::string Field(std::string_view key) const;
  // Returns whether any field has exactly this value.
  bool HasValue(std::string_view value) const;

  friend bool operator==(const LogLine& a, const LogLine& b) {
    return std::tie(a.source, a.time, a.level, a.part, a.sentence, a.fields) ==
           std::tie(b.source, b.time, b.level, b.part, b.sentence, b.fields);
  }
  friend bool operator!=(const LogLine& a, const LogLine& b) { return !(a == b); }
};

// Maximum length of a line in bytes; longer lines are not parsed.
constexpr std::size_t kMaxLogLineBytes = 64 << 10;

// Returns nullopt if `text` is not a log line, for example a trace span or the output of another
// program.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOG_LINE_H_
