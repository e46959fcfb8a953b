// The program `fakes`, with one subcommand for each fake service, fake target and the fake trainer.

#include <iostream>
#include <map>

#include "anvilcroft/log.h"
#include "fakes/program.h"

namespace {

using anvilcroft::fakes::Arguments;
using Command = int (*)(const Arguments&);

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"app", anvilcroft::fakes::RunApp},
      {"engine", anvilcroft::fakes::RunEngine},
      {"instances", anvilcroft::fakes::RunInstances},
      {"judge", anvilcroft::fakes::RunJudge},
      {"link", anvilcroft::fakes::RunLink},
      {"objects", anvilcroft::fakes::RunObjects},
      {"table", anvilcroft::fakes::RunTable},
      {"trainer", anvilcroft::fakes::RunTrainer},
      {"weights", anvilcroft::fakes::RunWeights},
  };
  return commands;
}

int ShowUsage() {
  std::cerr << "usage: fakes COMMAND [OPTIONS]; commands:";
  for (const auto& [name, command] : Commands()) std::cerr << " " << name;
  std::cerr << "\n";
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  anvilcroft::InitLog(anvilcroft::LogLevel::kWarning);
  const Arguments arguments(argv + 1, argv + argc);
  if (arguments.empty()) return ShowUsage();
  const auto command = Commands().find(arguments.front());
  if (command == Commands().end()) return ShowUsage();
  return command->second(arguments);
}
