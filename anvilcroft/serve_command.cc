#include <ostream>

#include "anvilcroft/command.h"
#include "anvilcroft/command_line.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/front_process.h"
#include "anvilcroft/front_settings.h"

namespace anvilcroft {

Command ServeCommand() {
  const auto run = [](const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error) -> int {
    CommandLine line("anvilcroft serve",
                     "Runs an instance on a hosted platform until SIGTERM or SIGINT, then shuts it "
                     "down gracefully. SIGHUP reloads the settings.");
    TCLAP::ValueArg<std::string> file("", "settings", "YAML settings of the instance", true, "",
                                      "FILE");
    line.Add(file);
    if (const auto code = line.Parse(arguments, out, error)) return *code;
    const auto settings = LoadFrontSettings(file.getValue());
    if (!settings) {
      for (const auto& problem : settings.error()) error << problem.ToString() << "\n";
      return kExitBadSettings;
    }
    return RunFrontInstance(*settings, file.getValue());
  };
  return Command{"serve", "Run an instance on a hosted platform", run};
}

}  // namespace anvilcroft
