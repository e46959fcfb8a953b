#ifndef BENCH_WEIGHT_PROPAGATION_H_
#define BENCH_WEIGHT_PROPAGATION_H_

// Time until new weights are on all engines, against the number of engines and the rate of the
// weight store.

#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"

namespace anvilcroft::bench {

// Runs 4 instances over `engines` fake engines (swap 0.2 s) and publishes two versions. The
// figures are seconds from the publication until the last engine reports the version.
Result<nlohmann::json> MeasureWeightPropagation(const std::string& anvilcroft_binary,
                                                const std::string& fakes_binary, int engines,
                                                int downloads_per_second);

}  // namespace anvilcroft::bench

#endif  // BENCH_WEIGHT_PROPAGATION_H_
