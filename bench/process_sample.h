#ifndef BENCH_PROCESS_SAMPLE_H_
#define BENCH_PROCESS_SAMPLE_H_

// What one instance has used so far, from its /metrics page.

#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft::bench {

struct ProcessSample {
  double cpu_seconds = 0;
  double resident_bytes = 0;
  double peer_bytes_out = 0;
  double peer_bytes_in = 0;
  double http_bytes_out = 0;
  double http_bytes_in = 0;
  double store_reads = 0;
  double store_transactions = 0;
  double config_version = 0;
};

// Field by field, later minus earlier; resident_bytes and config_version are those of `later`.
ProcessSample Difference(const ProcessSample& earlier, const ProcessSample& later);

// Reads the sample of the instance at `address` ("ip:port").
Result<ProcessSample> TakeSample(Task& task, HttpClient& http, const std::string& address);

// The value of `series` ("name" or "name{labels}") in a metrics page; 0 if it is missing.
double MetricValue(const std::string& page, const std::string& series);

}  // namespace anvilcroft::bench

#endif  // BENCH_PROCESS_SAMPLE_H_
