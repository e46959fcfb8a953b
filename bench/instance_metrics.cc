#include "bench/instance_metrics.h"

#include <cstdlib>

namespace anvilcroft::bench {

InstanceMetrics Difference(const InstanceMetrics& earlier, const InstanceMetrics& later) {
  InstanceMetrics used = later;
  used.cpu_seconds -= earlier.cpu_seconds;
  used.peer_bytes_out -= earlier.peer_bytes_out;
  used.peer_bytes_in -= earlier.peer_bytes_in;
  used.http_bytes_out -= earlier.http_bytes_out;
  used.http_bytes_in -= earlier.http_bytes_in;
  used.store_reads -= earlier.store_reads;
  used.store_transactions -= earlier.store_transactions;
  return used;
}

double MetricValue(const std::string& page, const std::string& series) {
  const std::string line = "\n" + series + " ";
  const std::size_t at = ("\n" + page).find(line);
  if (at == std::string::npos) return 0;
  return std::strtod(page.c_str() + at + line.size() - 1, nullptr);
}

Result<InstanceMetrics> FetchInstanceMetrics(Task& task, HttpClient& http,
                                             const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return tl::unexpected<Error>(endpoint.error());
  const auto page = http.Call(task, *endpoint, HttpRequest::Builder().SetTarget("/metrics").Build(),
                              CallOptions(SteadyNow() + seconds(10)).WithResend());
  if (!page) return tl::unexpected<Error>(page.error());
  const auto value = [&](const std::string& series) { return MetricValue(page->Body(), series); };
  InstanceMetrics metrics;
  metrics.cpu_seconds = value("process_cpu_seconds_total");
  metrics.resident_bytes = value("process_resident_memory_bytes");
  metrics.peer_bytes_out = value("anvilcroft_peer_bytes_total{direction=\"out\"}");
  metrics.peer_bytes_in = value("anvilcroft_peer_bytes_total{direction=\"in\"}");
  metrics.http_bytes_out = value("anvilcroft_http_client_bytes_total{direction=\"out\"}");
  metrics.http_bytes_in = value("anvilcroft_http_client_bytes_total{direction=\"in\"}");
  metrics.store_reads = value("anvilcroft_store_reads_total");
  metrics.store_transactions = value("anvilcroft_store_transactions_total");
  metrics.config_version = value("anvilcroft_config_version");
  return metrics;
}

}  // namespace anvilcroft::bench
