#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

#include "anvilcroft/command.h"
#include "anvilcroft/command_line.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log_timeline.h"

namespace anvilcroft {
namespace {

void AddLines(std::istream& input, const std::string& file, LogTimeline& timeline) {
  std::string text;
  while (std::getline(input, text)) timeline.AddLine(text, file);
}

void PrintText(const std::vector<LogLine>& lines, std::ostream& out) {
  for (const LogLine& line : lines) {
    out << line.time << " " << line.source << " " << line.level << " " << line.part << ": "
        << line.sentence;
    for (const auto& [key, value] : line.fields) {
      out << " " << key << "=" << (value.empty() ? "\"\"" : value);
    }
    out << "\n";
  }
}

void PrintJson(const std::vector<LogLine>& lines, std::ostream& out) {
  nlohmann::json list = nlohmann::json::array();
  for (const LogLine& line : lines) {
    nlohmann::json fields = nlohmann::json::object();
    for (const auto& [key, value] : line.fields) fields[key] = value;
    list.push_back({{"time", line.time},
                    {"source", line.source},
                    {"level", line.level},
                    {"part", line.part},
                    {"sentence", line.sentence},
                    {"fields", fields}});
  }
  out << DumpJson(list) << "\n";
}

}  // namespace

Command ExplainCommand() {
  const auto run = [](const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error) -> int {
    CommandLine line("anvilcroft explain",
                     "Prints the log lines of all instances about one request, item or batch job, "
                     "sorted by time. Reads standard input if no file is given.");
    TCLAP::ValueArg<std::string> id("", "request", "Id of the request, item or batch job", true, "",
                                    "ID");
    TCLAP::MultiArg<std::string> files("", "log", "Log file; may be given several times", false,
                                       "FILE");
    TCLAP::SwitchArg json("", "json",
                          "Print a JSON array of {time, source, level, part, "
                          "sentence, fields}");
    line.Add(id);
    line.Add(files);
    line.Add(json);
    if (const auto code = line.Parse(arguments, out, error)) return *code;
    LogTimeline timeline(id.getValue());
    for (const std::string& file : files.getValue()) {
      std::ifstream input(file);
      if (!input) {
        error << "anvilcroft explain: cannot read " << file << "\n";
        return kExitFailed;
      }
      AddLines(input, file, timeline);
    }
    if (files.getValue().empty()) AddLines(std::cin, "-", timeline);
    const auto lines = timeline.Lines();
    if (json.getValue()) {
      PrintJson(lines, out);
    } else {
      PrintText(lines, out);
    }
    if (timeline.LeftOut() > 0) {
      error << "anvilcroft explain: left out " << timeline.LeftOut()
            << " lines because there were too many\n";
    }
    if (!lines.empty()) return kExitOk;
    error << "anvilcroft explain: no log line contains the id " << id.getValue() << "\n";
    return kExitFailed;
  };
  return Command{"explain", "Print the log lines about one request", run};
}

}  // namespace anvilcroft
