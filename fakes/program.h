#ifndef FAKES_PROGRAM_H_
#define FAKES_PROGRAM_H_

// Command-line parsing and the main loop shared by the subcommands of the program `fakes`.
//
//   int RunThing(std::vector<std::string> arguments) {
//     Options options("thing", "what it is");
//     auto lag = options.AddInteger("lag-ms", "delay of ...", 0);
//     options.Parse(arguments);
//     Runtime runtime;
//     auto fake = FakeThing::Builder(runtime).SetLag(milliseconds(lag->getValue())).Build();
//     return Serve(runtime, *fake);
//   }

#include <tclap/CmdLine.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft::fakes {

using Arguments = std::vector<std::string>;

// The command-line options of one subcommand.
class Options {
 public:
  template <typename T>
  using Value = std::unique_ptr<TCLAP::ValueArg<T>>;

  Options(const std::string& command, const std::string& purpose)
      : line("fakes " + command + ": " + purpose, ' ', ANVILCROFT_VERSION) {}

  Value<int64_t> AddInteger(const std::string& name, const std::string& help,
                            int64_t default_value) {
    return this->AddValue(name, help, default_value, "integer");
  }
  Value<double> AddNumber(const std::string& name, const std::string& help, double default_value) {
    return this->AddValue(name, help, default_value, "number");
  }
  Value<std::string> AddText(const std::string& name, const std::string& help,
                             const std::string& default_value) {
    return this->AddValue(name, help, default_value, "text");
  }
  std::unique_ptr<TCLAP::SwitchArg> AddSwitch(const std::string& name, const std::string& help) {
    return std::make_unique<TCLAP::SwitchArg>("", name, help, this->line);
  }

  // Prints a message and exits the process if the arguments are malformed.
  void Parse(Arguments arguments) { this->line.parse(arguments); }

 private:
  template <typename T>
  Value<T> AddValue(const std::string& name, const std::string& help, T default_value,
                    const std::string& type) {
    return std::make_unique<TCLAP::ValueArg<T>>("", name, help, false, default_value, type,
                                                this->line);
  }

  TCLAP::CmdLine line;
};

// Prints the line "listening IP:PORT" and runs until a termination signal. If `address` is an
// error, prints it instead. Returns the exit code.
inline int RunUntilTerminated(Runtime& runtime, const Result<std::string>& address) {
  if (!address) {
    std::cerr << "fakes: " << address.error().message << ": " << address.error().part << "\n";
    return 1;
  }
  std::cout << "listening " << *address << std::endl;
  runtime.OnTerminate([&runtime] { runtime.Stop(); });
  runtime.Run();
  return 0;
}

// Starts `fake` and serves it as RunUntilTerminated does.
template <typename Fake>
int Serve(Runtime& runtime, Fake& fake) {
  return RunUntilTerminated(runtime, fake.Start());
}

int RunApp(const Arguments& arguments);
int RunEngine(const Arguments& arguments);
int RunInstances(const Arguments& arguments);
int RunJudge(const Arguments& arguments);
int RunLink(const Arguments& arguments);
int RunObjects(const Arguments& arguments);
int RunTable(const Arguments& arguments);
int RunTrainer(const Arguments& arguments);
int RunWeights(const Arguments& arguments);

}  // namespace anvilcroft::fakes

#endif  // FAKES_PROGRAM_H_
