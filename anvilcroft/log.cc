#include "anvilcroft/log.h"

#include <easylogging++.h>

#include <algorithm>

INITIALIZE_EASYLOGGINGPP

namespace anvilcroft {
namespace {

LogLevel minimum_level = LogLevel::kInfo;

bool NeedsQuotes(const std::string& value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == 0x7f;
         });
}

// Escapes control characters, so that input from outside cannot forge a log line.
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

void LogDebug(std::string_view part, std::string_view sentence, const LogFields& fields) {
  if (minimum_level <= LogLevel::kDebug) CLOG(DEBUG, "default") << Format(part, sentence, fields);
}

void LogInfo(std::string_view part, std::string_view sentence, const LogFields& fields) {
  if (minimum_level <= LogLevel::kInfo) CLOG(INFO, "default") << Format(part, sentence, fields);
}

void LogWarning(std::string_view part, std::string_view sentence, const LogFields& fields) {
  if (minimum_level <= LogLevel::kWarning) {
    CLOG(WARNING, "default") << Format(part, sentence, fields);
  }
}

void LogError(std::string_view part, std::string_view sentence, const LogFields& fields) {
  CLOG(ERROR, "default") << Format(part, sentence, fields);
}

void LogRaw(std::string_view line) { CLOG(INFO, "raw") << line; }

}  // namespace anvilcroft
