#ifndef ANVILCROFT_LOG_H_
#define ANVILCROFT_LOG_H_

// Structured log lines on standard error, or on standard output once LogToStandardOutput was
// called.
//
// A line is: time, level, the part's fixed prefix, a short sentence, then key=value fields.
//
//   2026-12-04T05:54:20.123Z INFO config: accepted a patch version=7 author="asha"
//
// Parts are named once, in the file that logs, as a constant: constexpr char kPart[] = "config".

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilcroft {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Sets up the library. Call once in main, before the first line. Lines below `level` are dropped.
void InitLog(LogLevel level);

// Writes to standard output from now on: never blocking, and within the budget of LogBudget.
void LogToStandardOutput();

// Lines left out because of the budget or because the reader did not keep up.
int64_t LogLinesLeftOut();

void LogDebug(std::string_view part, std::string_view sentence, const LogFields& fields = {});
void LogInfo(std::string_view part, std::string_view sentence, const LogFields& fields = {});
void LogWarning(std::string_view part, std::string_view sentence, const LogFields& fields = {});
void LogError(std::string_view part, std::string_view sentence, const LogFields& fields = {});

// Writes `line` unchanged, for records that have a format of their own (trace spans).
void LogRaw(std::string_view line);

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOG_H_
