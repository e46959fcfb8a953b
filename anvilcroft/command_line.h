#ifndef ANVILCROFT_COMMAND_LINE_H_
#define ANVILCROFT_COMMAND_LINE_H_

// Parses the options of one command with TCLAP.
//
//   CommandLine line("anvilcroft run", "Runs an instance.");
//   TCLAP::ValueArg<std::string> file("", "settings", "Settings file", true, "", "FILE");
//   line.Add(file);
//   if (const auto code = line.Parse(arguments, out, error)) return *code;

#include <tclap/CmdLine.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace anvilcroft {

class CommandLine {
 public:
  // `program` is the full name of the command, for example "anvilcroft run". `summary` is printed
  // at the top of the help text.
  CommandLine(std::string program, std::string summary);

  // Adds an option. It must stay alive until Parse returns.
  void Add(TCLAP::Arg& option);

  // Parses `arguments`. Returns the exit code if the command must not run: after printing help for
  // --help, or after reporting an invalid command line.
  std::optional<int> Parse(const std::vector<std::string>& arguments, std::ostream& out,
                           std::ostream& error);

 private:
  void PrintHelp(std::ostream& stream);

  std::string program;
  std::string summary;
  TCLAP::CmdLine line;
  TCLAP::SwitchArg help;
  std::vector<TCLAP::Arg*> options;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_COMMAND_LINE_H_
