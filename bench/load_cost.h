#ifndef BENCH_LOAD_COST_H_
#define BENCH_LOAD_COST_H_

// Measures the cost of load at one instance: CPU time per request and per streamed token, memory
// per request in flight, store reads and transactions per request of each kind, and store
// transactions per delivered sample.

#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"

namespace anvilcroft::bench {

// Runs one instance with local fakes and returns the figures of each kind of load.
Result<nlohmann::json> MeasureLoadCost(const std::string& anvilcroft_binary,
                                       const std::string& fakes_binary);

}  // namespace anvilcroft::bench

#endif  // BENCH_LOAD_COST_H_
