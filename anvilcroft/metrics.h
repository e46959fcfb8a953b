#ifndef ANVILCROFT_METRICS_H_
#define ANVILCROFT_METRICS_H_

// Counters, gauges and summaries of one instance, written in the Prometheus text format.
//
//   metrics.Increment("anvilcroft_requests_total", {{"service", name}, {"outcome", "ok"}});
//   metrics.Observe("anvilcroft_request_seconds", {{"service", name}}, 0.012);
//   metrics.RegisterGauge("anvilcroft_in_flight", {}, [&] { return double(in_flight); });
//
// Names and label sets come from the code, never from input, except labels that hold a configured
// name; the number of series is bounded by kMaxSeries and further ones are dropped and counted.

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace anvilcroft {

namespace detail {
class SummarySeries;
}  // namespace detail

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class Metrics {
 public:
  static constexpr std::size_t kMaxSeries = 4096;

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `by` to a counter.
  void Increment(const std::string& name, const MetricLabels& labels, double by = 1);

  // Adds one observation to a summary (count, sum, and quantiles 0.5, 0.9 and 0.99 over all
  // observations so far, estimated with the P-square algorithm).
  void Observe(const std::string& name, const MetricLabels& labels, double value);

  // Registers a gauge that is read when the metrics are written.
  void RegisterGauge(const std::string& name, const MetricLabels& labels,
                     std::function<double()> read);

  // Registers a counter that is kept elsewhere and read when the metrics are written.
  void RegisterCounter(const std::string& name, const MetricLabels& labels,
                       std::function<double()> read);

  // Value of a counter; 0 if it was never counted. For tests and reports.
  double CounterValue(const std::string& name, const MetricLabels& labels) const;

  // All series in the text format.
  std::string Render() const;

 private:
  // Series by metric name, then by rendered labels.
  template <typename T>
  using Family = std::map<std::string, std::map<std::string, T>>;

  bool ReserveSeries(bool exists);

  Family<double> counters;
  Family<std::function<double()>> gauges;
  Family<std::function<double()>> external_counters;
  Family<std::unique_ptr<detail::SummarySeries>> summaries;
  std::size_t series = 0;
  double dropped = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_METRICS_H_
