#include <ostream>

#include "anvilcroft/command.h"
#include "anvilcroft/command_line.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/instance.h"
#include "anvilcroft/settings_loader.h"

namespace anvilcroft {

Command RunCommand() {
  const auto run = [](const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error) -> int {
    CommandLine line("anvilcroft run",
                     "Runs an instance until SIGTERM, SIGINT or a drain request, then shuts it "
                     "down gracefully.");
    TCLAP::ValueArg<std::string> file("", "settings", "YAML settings of the instance", true, "",
                                      "FILE");
    line.Add(file);
    if (const auto code = line.Parse(arguments, out, error)) return *code;
    const auto settings = LoadSettings(file.getValue());
    if (!settings) {
      for (const auto& problem : settings.error()) error << problem.ToString() << "\n";
      return kExitBadSettings;
    }
    return RunInstance(*settings);
  };
  return Command{"run", "Run an instance", run};
}

}  // namespace anvilcroft
