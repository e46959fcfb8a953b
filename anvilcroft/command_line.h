#ifndef ANVILCROFT_COMMAND_LINE_H_
#define ANVILCROFT_COMMAND_LINE_H_

// The options of one command, read with TCLAP.
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
  // `program` is the command with the words before it; `summary` begins the help text.
  CommandLine(std::string program, std::string summary);

  // Adds an option, which must outlive Parse.
  void Add(TCLAP::Arg& option);

  // Reads `arguments`. Returns an exit code if the command is to end now: after --help, or after a
  // message about an invalid command line.
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
