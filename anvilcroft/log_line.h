#ifndef ANVILCROFT_LOG_LINE_H_
#define ANVILCROFT_LOG_LINE_H_

// A line of the log (log.h) taken apart again.

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace anvilcroft {

struct LogLine {
  std::string source;  // what a log collector wrote before the time, often the machine
  std::string time;    // UTC, ISO 8601
  std::string level;
  std::string part;
  std::string sentence;
  std::vector<std::pair<std::string, std::string>> fields;

  // The value of the field `key`, or "" if there is none.
  std::string Field(std::string_view key) const;
  // Whether some field has exactly this value.
  bool HasValue(std::string_view value) const;

  friend bool operator==(const LogLine& a, const LogLine& b) {
    return std::tie(a.source, a.time, a.level, a.part, a.sentence, a.fields) ==
           std::tie(b.source, b.time, b.level, b.part, b.sentence, b.fields);
  }
  friend bool operator!=(const LogLine& a, const LogLine& b) { return !(a == b); }
};

// Longest line that is read, bytes.
constexpr std::size_t kMaxLogLineBytes = 64 << 10;

// Nullopt if `text` is no line of the log, for example a trace span or a line of another program.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOG_LINE_H_
