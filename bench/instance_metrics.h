#ifndef BENCH_INSTANCE_METRICS_H_
#define BENCH_INSTANCE_METRICS_H_

// Resource usage of one instance, read from its /metrics page. All fields but resident_bytes and
// config_version are totals since the instance started.

#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft::bench {

struct InstanceMetrics {
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

// Returns `later` minus `earlier` for each total; resident_bytes and config_version are those of
// `later`.
InstanceMetrics Difference(const InstanceMetrics& earlier, const InstanceMetrics& later);

// Reads the metrics page of the instance at `address` ("ip:port"). Fails if no response arrives
// within 10 s.
Result<InstanceMetrics> FetchInstanceMetrics(Task& task, HttpClient& http,
                                             const std::string& address);

// Returns the value of `series` ("name" or "name{labels}") in a metrics page; 0 if it is missing.
double MetricValue(const std::string& page, const std::string& series);

}  // namespace anvilcroft::bench

#endif  // BENCH_INSTANCE_METRICS_H_
