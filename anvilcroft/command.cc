#include "anvilcroft/command.h"

#include <iomanip>
#include <ostream>

#include "anvilcroft/exit_code.h"

namespace anvilcroft {
namespace {

void PrintCommands(const std::string& program, const std::vector<Command>& commands,
                   std::ostream& stream) {
  stream << "Usage: " << program << " COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command& command : commands) {
    stream << "  " << std::left << std::setw(12) << command.name << command.summary << "\n";
  }
  stream << "\n'" << program << " COMMAND --help' describes one command.\n";
}

}  // namespace

int RunSubcommand(const std::string& program, const std::vector<Command>& commands,
                  const std::vector<std::string>& arguments, std::ostream& out,
                  std::ostream& error) {
  if (arguments.empty()) {
    PrintCommands(program, commands, error);
    return kExitUsage;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h") {
    PrintCommands(program, commands, out);
    return kExitOk;
  }
  for (const Command& command : commands) {
    if (command.name == name) {
      return command.run({arguments.begin() + 1, arguments.end()}, out, error);
    }
  }
  error << program << ": unknown command \"" << name << "\"\n";
  PrintCommands(program, commands, error);
  return kExitUsage;
}

int RunProgram(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error) {
  if (!arguments.empty() && arguments.front() == "--version") {
    out << "anvilcroft " << ANVILCROFT_VERSION << "\n";
    return kExitOk;
  }
  return RunSubcommand("anvilcroft",
                       {RunCommand(), ServeCommand(), CheckCommand(), ExplainCommand(),
                        PatchCommand(), ListCommand(), DrainCommand()},
                       arguments, out, error);
}

}  // namespace anvilcroft
