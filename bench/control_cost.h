#ifndef BENCH_CONTROL_COST_H_
#define BENCH_CONTROL_COST_H_

// Measures the control-plane cost of idle instances, and the time until a configuration version is
// in force at every instance, as functions of the number of members, targets and deployments.

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/instance_metrics.h"
#include "bench/stub_targets.h"
#include "fakes/local_cluster.h"

namespace anvilcroft::bench {

struct ControlScenario {
  int members = 4;
  int targets = 100;
  int deployments = 1;
  Duration window = seconds(15);  // length of the measurement of the idle cost
  Duration settle = seconds(12);  // delay between the first patch and the window
  int patches = 5;                // patches whose propagation is timed after the window
};

class ControlCost {
 public:
  ControlCost(std::string anvilcroft_binary, std::string fakes_binary);

  // Runs one scenario and returns its figures per member: medians over the members, and maxima in
  // the fields that end in `_max`. `wire_bytes_s` is the traffic of the loopback interface,
  // including headers, divided by the number of members. It is valid only if nothing else uses the
  // interface. It counts a byte between two members once; `peer_bytes_s` counts it at both.
  Result<nlohmann::json> Run(const ControlScenario& scenario);

 private:
  Result<nlohmann::json> Measure(Task& task, HttpClient& http, const ControlScenario& scenario,
                                 fakes::LocalCluster& cluster);
  // Submits `patch` on version `base` and returns the milliseconds from its acceptance until it is
  // in force at the last member. Polls all members concurrently, each every 5 ms.
  Result<double> MeasurePatchPropagation(Task& task, HttpClient& http, fakes::LocalCluster& cluster,
                                         int64_t base, const nlohmann::json& patch);

  std::string anvilcroft_binary;
  std::string fakes_binary;
};

}  // namespace anvilcroft::bench

#endif  // BENCH_CONTROL_COST_H_
