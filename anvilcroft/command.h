#ifndef ANVILCROFT_COMMAND_H_
#define ANVILCROFT_COMMAND_H_

// The commands of the program.
//
//   int main(int argc, char** argv) {
//     return anvilcroft::RunProgram({argv + 1, argv + argc}, std::cout, std::cerr);
//   }
//
// A command returns one of the exit codes of exit_code.h. It writes results to `out` and error
// messages to `error`.

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace anvilcroft {

struct Command {
  using Function = std::function<int(const std::vector<std::string>& arguments, std::ostream& out,
                                     std::ostream& error)>;

  std::string name;     // its name on the command line
  std::string summary;  // one line for the list of commands
  Function run;         // takes the arguments after the name
};

// Runs an instance.
Command RunCommand();
// Runs an instance on a hosted platform.
Command ServeCommand();
// Checks a settings file or a configuration document without an instance.
Command CheckCommand();
// Prints the log lines about one request, item or batch job.
Command ExplainCommand();
// Submits a configuration patch or shows an accepted one.
Command PatchCommand();
// Lists members, deployments, targets, samples or the configuration.
Command ListCommand();
// Drains an instance or a target.
Command DrainCommand();

// Runs the program: `anvilcroft COMMAND ...`, --help or --version.
int RunProgram(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error);

// Runs the command of `commands` that the first argument names, with the remaining arguments.
// `program` is the command line before that argument, for usage messages. Prints the list of
// commands for --help.
int RunSubcommand(const std::string& program, const std::vector<Command>& commands,
                  const std::vector<std::string>& arguments, std::ostream& out,
                  std::ostream& error);

}  // namespace anvilcroft

#endif  // ANVILCROFT_COMMAND_H_
