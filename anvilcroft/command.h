#ifndef ANVILCROFT_COMMAND_H_
#define ANVILCROFT_COMMAND_H_

// The commands of the program.
//
//   int main(int argc, char** argv) {
//     return anvilcroft::RunProgram({argv + 1, argv + argc}, std::cout, std::cerr);
//   }
//
// A command returns one of the exit codes of exit_code.h. Results go to `out`, problems to `error`.

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace anvilcroft {

struct Command {
  using Body = std::function<int(const std::vector<std::string>& arguments, std::ostream& out,
                                 std::ostream& error)>;

  std::string name;     // the word on the command line
  std::string summary;  // one line for the list of commands
  Body run;             // takes the arguments after the name
};

// Runs an instance.
Command RunCommand();
// Runs an instance on a hosted platform.
Command ServeCommand();
// Checks a settings file or a configuration document without an instance.
Command CheckCommand();
// Prints what logs say of one request.
Command ExplainCommand();
// Submits a configuration patch or shows an accepted one.
Command PatchCommand();
// Lists members, deployments, targets, samples or the configuration.
Command ListCommand();
// Drains an instance or a target.
Command DrainCommand();

// Runs the program: `anvilcroft COMMAND ...`, --help or --version.
int RunProgram(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error);

// Runs the one of `commands` that the first argument names; `program` is what stands before it.
// Answers --help with the list of commands.
int RunOneOf(const std::string& program, const std::vector<Command>& commands,
             const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error);

}  // namespace anvilcroft

#endif  // ANVILCROFT_COMMAND_H_
