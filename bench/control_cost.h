#ifndef BENCH_CONTROL_COST_H_
#define BENCH_CONTROL_COST_H_

// Control cost of idle instances and the time until a configuration version is in force
// everywhere, against the number of members, known targets and deployments.

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/light_targets.h"
#include "bench/process_sample.h"
#include "fakes/local_cluster.h"

namespace anvilcroft::bench {

struct ControlScenario {
  int members = 4;
  int targets = 100;
  int deployments = 1;
  Duration window = seconds(15);  // over which the cost is measured
  Duration settle = seconds(12);  // from the start of the last instance to the window
  int patches = 5;                // whose spread is timed after the window
};

class ControlCost {
 public:
  ControlCost(std::string anvilcroft_binary, std::string fakes_binary);

  // Runs one scenario and returns its figures for one member: medians over the members.
  // `wire_bytes_s` is all traffic of the loopback interface, headers included, divided by the
  // members; it means something only while nothing else runs, and counts each byte between two
  // members once, where `peer_bytes_s` counts it at both.
  Result<nlohmann::json> Run(const ControlScenario& scenario);

 private:
  Result<nlohmann::json> Measure(Task& task, HttpClient& http, const ControlScenario& scenario,
                                 fakes::LocalCluster& cluster);
  Result<double> TimePatch(Task& task, HttpClient& http, fakes::LocalCluster& cluster, int64_t base,
                           const nlohmann::json& patch);

  std::string anvilcroft_binary;
  std::string fakes_binary;
};

}  // namespace anvilcroft::bench

#endif  // BENCH_CONTROL_COST_H_
