#include "anvilcroft/command_line.h"

#include <algorithm>
#include <ostream>
#include <utility>

#include "anvilcroft/exit_code.h"

namespace anvilcroft {

CommandLine::CommandLine(std::string program, std::string summary)
    : program(std::move(program)),
      summary(std::move(summary)),
      line(this->summary, ' ', ANVILCROFT_VERSION, false),
      help("h", "help", "Print this help") {
  this->line.setExceptionHandling(false);
  this->Add(this->help);
}

void CommandLine::Add(TCLAP::Arg& option) {
  this->line.add(option);
  this->options.push_back(&option);
}

std::optional<int> CommandLine::Parse(const std::vector<std::string>& arguments, std::ostream& out,
                                      std::ostream& error) {
  // Handle --help first: TCLAP would report missing required options.
  if (std::any_of(arguments.begin(), arguments.end(), [](const std::string& argument) {
        return argument == "--help" || argument == "-h";
      })) {
    this->PrintHelp(out);
    return kExitOk;
  }
  std::vector<std::string> words = {this->program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  try {
    this->line.parse(words);
  } catch (const TCLAP::ArgException& problem) {
    error << this->program << ": " << problem.error();
    if (!problem.argId().empty() && problem.argId() != "undefined") {
      error << " (" << problem.argId() << ")";
    }
    error << "\n'" << this->program << " --help' describes the command.\n";
    return kExitUsage;
  }
  return std::nullopt;
}

void CommandLine::PrintHelp(std::ostream& stream) {
  stream << "Usage: " << this->program;
  for (TCLAP::Arg* option : this->options) stream << " " << option->shortID();
  stream << "\n\n" << this->summary << "\n\nOptions:\n";
  for (TCLAP::Arg* option : this->options) {
    // TCLAP prefixes the description of a required option with "(required)".
    std::string id = option->longID();
    id.erase(id.find_last_not_of(' ') + 1);
    stream << "  " << id << "\n      " << option->getDescription() << "\n";
  }
}

}  // namespace anvilcroft
