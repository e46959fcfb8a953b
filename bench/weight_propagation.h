#ifndef BENCH_WEIGHT_PROPAGATION_H_
#define BENCH_WEIGHT_PROPAGATION_H_

// Measures the time until all engines run a new weight version, as a function of the number of
// engines and the download rate of the weight store.

#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"

namespace anvilcroft::bench {

// Runs 4 instances and `engines` fake engines (0.2 s for each weight swap) and publishes two
// weight versions. Returns, for each version, the seconds from its publication until the last
// engine reports it.
Result<nlohmann::json> MeasureWeightPropagation(const std::string& anvilcroft_binary,
                                                const std::string& fakes_binary, int engines,
                                                int downloads_per_second);

}  // namespace anvilcroft::bench

#endif  // BENCH_WEIGHT_PROPAGATION_H_
