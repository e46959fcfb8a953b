#ifndef ANVILCROFT_METRICS_H_
#define ANVILCROFT_METRICS_H_

// Counters, gauges and summaries of one instance, exported in the Prometheus text format.
//
//   metrics.Increment("anvilcroft_requests_total", {{"service", name}, {"outcome", "ok"}});
//   metrics.Observe("anvilcroft_request_seconds", {{"service", name}}, 0.012);
//   metrics.RegisterGauge("anvilcroft_in_flight", {}, [&] { return double(in_flight); });
//
// Metric names and labels must be constants of the code or configured names, never input, to bound
// the number of series. Beyond kMaxSeries series, calls for new ones are dropped and counted in
// anvilcroft_metrics_dropped_total.

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

  // Adds `amount` to a counter.
  void Increment(const std::string& name, const MetricLabels& labels, double amount = 1);

  // Adds one observation to a summary. A summary exports the count, the sum and the quantiles 0.5,
  // 0.9 and 0.99 of all observations so far, estimated with the P-square algorithm.
  void Observe(const std::string& name, const MetricLabels& labels, double value);

  // Registers a gauge whose value is obtained from `read` by each Render().
  void RegisterGauge(const std::string& name, const MetricLabels& labels,
                     std::function<double()> read);

  // Registers a counter whose value is obtained from `read` by each Render().
  void RegisterCounter(const std::string& name, const MetricLabels& labels,
                       std::function<double()> read);

  // Value of a counter, or 0 if it was never incremented. For tests and reports.
  double CounterValue(const std::string& name, const MetricLabels& labels) const;

  // Returns all series in the Prometheus text format.
  std::string Render() const;

 private:
  // Series by metric name, then by rendered labels.
  template <typename T>
  using Family = std::map<std::string, std::map<std::string, T>>;

  // Whether a series may be updated: it exists, or there is room for one more, which is counted.
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
