// Benchmarks with local processes; not part of the tests. Each run prints one line of JSON.
//
//   anvilcroft_bench control ANVILCROFT_BINARY FAKES_BINARY MEMBERS TARGETS DEPLOYMENTS [SECONDS]
//   anvilcroft_bench load ANVILCROFT_BINARY FAKES_BINARY
//   anvilcroft_bench weights ANVILCROFT_BINARY FAKES_BINARY ENGINES DOWNLOADS_PER_SECOND

#include <iostream>
#include <string>
#include <vector>

#include "anvilcroft/log.h"
#include "bench/control_cost.h"
#include "bench/load_cost.h"
#include "bench/weight_propagation.h"

namespace anvilcroft::bench {
namespace {

int Print(const Result<nlohmann::json>& figures) {
  if (!figures) {
    std::cerr << "the benchmark failed: " << figures.error().message << " " << figures.error().part
              << "\n";
    return 1;
  }
  std::cout << figures->dump() << std::endl;
  return 0;
}

int Main(const std::vector<std::string>& arguments) {
  InitLog(LogLevel::kError);
  const auto number = [&](std::size_t at) { return std::stoi(arguments.at(at)); };
  if (arguments.size() >= 6 && arguments[0] == "control") {
    ControlScenario scenario;
    scenario.members = number(3);
    scenario.targets = number(4);
    scenario.deployments = number(5);
    if (arguments.size() > 6) scenario.window = seconds(number(6));
    return Print(ControlCost(arguments[1], arguments[2]).Run(scenario));
  }
  if (arguments.size() >= 3 && arguments[0] == "load") {
    return Print(MeasureLoadCost(arguments[1], arguments[2]));
  }
  if (arguments.size() >= 5 && arguments[0] == "weights") {
    return Print(MeasureWeightPropagation(arguments[1], arguments[2], number(3), number(4)));
  }
  std::cerr << "usage: anvilcroft_bench control|load|weights ANVILCROFT_BINARY FAKES_BINARY ...\n";
  return 2;
}

}  // namespace
}  // namespace anvilcroft::bench

int main(int argc, char** argv) {
  return anvilcroft::bench::Main(std::vector<std::string>(argv + 1, argv + argc));
}
