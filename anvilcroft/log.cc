#include "anvilcroft/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>

#include "anvilcroft/line_sink.h"
#include "anvilcroft/log_rate_limiter.h"
#include "anvilcroft/time.h"

INITIALIZE_EASYLOGGINGPP

namespace anvilcroft {
namespace {

LogLevel minimum_level = LogLevel::kInfo;

// Created by LogToStandardOutput. They are never deleted, because std::cerr refers to the sink
// until the process ends.
LineSink* sink = nullptr;
LogRateLimiter* rate_limiter = nullptr;
int64_t rate_limited_lines = 0;

bool NeedsQuotes(const std::string& value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == 0x7f;
         });
}

// Quotes `value` and escapes control characters, so that untrusted input can't forge a log line.
std::string Quote(const std::string& value) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (const unsigned char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += static_cast<char>(c);
    } else if (c < ' ' || c == 0x7f) {
      quoted += "\\x";
      quoted += kHexDigits[c >> 4];
      quoted += kHexDigits[c & 0xf];
    } else {
      quoted += static_cast<char>(c);
    }
  }
  return quoted + "\"";
}

// Returns whether the rate limit allows `line`. Appends the field left_out with the number of lines
// of the part that were suppressed since the previous written one.
bool Admit(std::string_view part, bool failure, std::string& line) {
  if (rate_limiter == nullptr) return true;
  const auto suppressed = rate_limiter->Admit(part, failure, SteadyNow());
  if (!suppressed) {
    ++rate_limited_lines;
    return false;
  }
  if (*suppressed > 0) line += " left_out=" + std::to_string(*suppressed);
  return true;
}

std::string Format(std::string_view part, std::string_view sentence, const LogFields& fields) {
  std::string line(part);
  line += ": ";
  line += sentence;
  for (const auto& [key, value] : fields) {
    line += " " + key + "=" + (NeedsQuotes(value) ? Quote(value) : value);
  }
  return line;
}

}  // namespace

void InitLog(LogLevel level) {
  minimum_level = level;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configurations.setGlobally(el::ConfigurationType::Format,
                             "%datetime{%Y-%M-%dT%H:%m:%s.%gZ} %level %msg");
  el::Loggers::reconfigureLogger("default", configurations);
  configurations.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::getLogger("raw");
  el::Loggers::reconfigureLogger("raw", configurations);
}

void LogToStandardOutput() {
  if (sink != nullptr) return;
  sink = new LineSink(STDOUT_FILENO);
  rate_limiter = new LogRateLimiter();
  std::cerr.rdbuf(sink);  // the stream that easylogging++ writes to
}

int64_t DroppedLogLines() {
  return rate_limited_lines + (sink == nullptr ? 0 : sink->DroppedLines());
}

void LogDebug(std::string_view part, std::string_view sentence, const LogFields& fields) {
  if (minimum_level > LogLevel::kDebug) return;
  std::string line = Format(part, sentence, fields);
  if (Admit(part, false, line)) CLOG(DEBUG, "default") << line;
}

void LogInfo(std::string_view part, std::string_view sentence, const LogFields& fields) {
  if (minimum_level > LogLevel::kInfo) return;
  std::string line = Format(part, sentence, fields);
  if (Admit(part, false, line)) CLOG(INFO, "default") << line;
}

void LogWarning(std::string_view part, std::string_view sentence, const LogFields& fields) {
  if (minimum_level > LogLevel::kWarning) return;
  std::string line = Format(part, sentence, fields);
  if (Admit(part, true, line)) CLOG(WARNING, "default") << line;
}

void LogError(std::string_view part, std::string_view sentence, const LogFields& fields) {
  std::string line = Format(part, sentence, fields);
  if (Admit(part, true, line)) CLOG(ERROR, "default") << line;
}

void LogRaw(std::string_view line) { CLOG(INFO, "raw") << line; }

}  // namespace anvilcroft
