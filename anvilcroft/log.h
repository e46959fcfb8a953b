#ifndef ANVILCROFT_LOG_H_
#define ANVILCROFT_LOG_H_

// Structured log lines on standard error, or on standard output after LogToStandardOutput.
//
// A line holds the time, the level, the name of the component ("part"), a short sentence, and
// key=value fields:
//
//   2026-12-04T05:54:20.123Z INFO config: accepted a patch version=7 author="asha"
//
// Each source file that logs defines the name of its part as a constant:
//
//   constexpr char kPart[] = "config";

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilcroft {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Initializes logging. Must be called once, before the first line is logged. Lines below `level`
// are discarded.
void InitLog(LogLevel level);

// Redirects the log to standard output. From then on writes never block, and LogRateLimiter limits
// the lines of each part.
void LogToStandardOutput();

// Lines that were not written because of the rate limit or because the reader of standard output
// did not keep up.
int64_t DroppedLogLines();

void LogDebug(std::string_view part, std::string_view sentence, const LogFields& fields = {});
void LogInfo(std::string_view part, std::string_view sentence, const LogFields& fields = {});
void LogWarning(std::string_view part, std::string_view sentence, const LogFields& fields = {});
void LogError(std::string_view part, std::string_view sentence, const LogFields& fields = {});

// Writes `line` unchanged, for records with a different format (trace spans). The minimum level and
// the rate limit don't apply.
void LogRaw(std::string_view line);

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOG_H_
