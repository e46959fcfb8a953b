#ifndef BENCH_LOAD_COST_H_
#define BENCH_LOAD_COST_H_

// Cost of work at one instance: processor time for each request and each streamed token, memory
// for each request in flight, store reads and writes for each kind of request, and samples
// delivered against store transactions.

#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"

namespace anvilcroft::bench {

Result<nlohmann::json> MeasureLoadCost(const std::string& anvilcroft_binary,
                                       const std::string& fakes_binary);

}  // namespace anvilcroft::bench

#endif  // BENCH_LOAD_COST_H_
