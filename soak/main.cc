// Injects seeded faults into a small site of real processes under load, and checks the answers that
// clients get against the guarantees of docs/platform.md.
//
//   soak [--seed N] [--seeds COUNT] [--seconds S] [--instances N] [--split-routes]
//        [--single-version] [--keep-files DIR] ANVILCROFT
//
// Exits with 0 if there was no violation. Each violation is printed with its seed, which generates
// the same faults again.

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>
#include <string>

#include "anvilcroft/log.h"
#include "soak/clients.h"
#include "soak/fault_schedule.h"
#include "soak/site.h"

namespace anvilcroft::soak {
namespace {

constexpr Duration kStartupWait = seconds(3);  // for the instances to start, before the first fault

// Runs the soak with one seed. Returns whether it passed.
bool RunSeed(uint64_t seed, Duration span, const SiteOptions& options) {
  Runtime runtime;
  Site site(runtime, options);
  Clients clients(runtime, site, seed);
  const auto faults = GenerateFaults(seed, span);
  bool started = true;
  runtime.Spawn([&](Task& task) {
    if (const auto ready = site.Start(); !ready) {
      std::cout << "cannot start the site: " << ready.error().message << std::endl;
      started = false;
      runtime.Stop();
      return;
    }
    SleepUntil(task, SteadyNow() + kStartupWait);
    clients.Start();
    InjectFaults(task, runtime, site, faults);
    // The clients finish their calls and steps without faults.
    clients.Stop();
    while (!clients.Stopped()) SleepUntil(task, SteadyNow() + milliseconds(20));
    clients.CheckRecovered(task);
    runtime.Stop();
  });
  runtime.Run();
  runtime.EndTasks();
  for (SoakInstance& instance : site.Instances()) instance.process.reset();
  for (const std::string& what : clients.Violations()) {
    std::cout << "seed " << seed << " VIOLATION " << what << std::endl;
  }
  const bool passed = started && clients.Violations().empty();
  std::cout << "seed " << seed << (passed ? " passed" : " FAILED") << " faults=" << faults.size()
            << " " << clients.Summary() << std::endl;
  return passed;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Fault soak of anvilcroft on a fake platform", ' ', "1");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "first seed", false, 1, "N", line);
  TCLAP::ValueArg<uint64_t> seeds("", "seeds", "number of seeds", false, 1, "COUNT", line);
  TCLAP::ValueArg<int> span("", "seconds", "duration in seconds within which faults start", false,
                            15, "S", line);
  TCLAP::ValueArg<int> instances("", "instances", "processes", false, 4, "N", line);
  TCLAP::SwitchArg split_routes(
      "", "split-routes", "divide routes between two services, differently in each version", line);
  TCLAP::SwitchArg single_version("", "single-version", "texts are of one weight version each",
                                  line);
  TCLAP::ValueArg<std::string> keep(
      "", "keep-files", "directory in which settings and logs are kept", false, "", "DIR", line);
  TCLAP::UnlabeledValueArg<std::string> binary("anvilcroft", "program under test", true, "",
                                               "ANVILCROFT", line);
  line.parse(argc, argv);
  int failed = 0;
  for (uint64_t i = 0; i < seeds.getValue(); ++i) {
    const uint64_t one = seed.getValue() + i;
    const std::filesystem::path base = keep.getValue().empty()
                                           ? std::filesystem::temp_directory_path()
                                           : std::filesystem::path(keep.getValue());
    const std::filesystem::path folder =
        base / ("soak-" + std::to_string(getpid()) + "-" + std::to_string(one));
    std::filesystem::create_directories(folder);
    SiteOptions options;
    options.binary = binary.getValue();
    options.directory = folder.string();
    options.instances = instances.getValue();
    options.split_routes = split_routes.getValue();
    options.single_version = single_version.getValue();
    if (!RunSeed(one, seconds(span.getValue()), options)) ++failed;
    if (keep.getValue().empty()) std::filesystem::remove_all(folder);
  }
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace anvilcroft::soak

int main(int argc, char** argv) { return anvilcroft::soak::Main(argc, argv); }
