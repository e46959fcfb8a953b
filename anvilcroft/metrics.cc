#include "anvilcroft/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <iomanip>
#include <sstream>

namespace anvilcroft {
namespace {

namespace acc = boost::accumulators;

constexpr double kQuantiles[] = {0.5, 0.9, 0.99};

std::string Escape(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return escaped;
}

std::string RenderLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [key, value] : labels) {
    text += (text.empty() ? "" : ",") + key + "=\"" + Escape(value) + "\"";
  }
  return text;
}

std::string Braced(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

}  // namespace

namespace detail {

class SummarySeries {
 public:
  SummarySeries() : set(acc::tag::extended_p_square::probabilities = kQuantiles) {}

  void Add(double value) { this->set(value); }
  double Sum() const { return acc::sum(this->set); }
  std::size_t ObservationCount() const { return acc::count(this->set); }
  // Estimate of the quantile kQuantiles[index].
  double Quantile(std::size_t index) const { return acc::extended_p_square(this->set)[index]; }

 private:
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>
      set;
};

}  // namespace detail

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

bool Metrics::ReserveSeries(bool exists) {
  if (exists) return true;
  if (this->series >= kMaxSeries) {
    ++this->dropped;
    return false;
  }
  ++this->series;
  return true;
}

void Metrics::Increment(const std::string& name, const MetricLabels& labels, double amount) {
  auto& family = this->counters[name];
  const std::string key = RenderLabels(labels);
  if (this->ReserveSeries(family.count(key) != 0)) family[key] += amount;
}

void Metrics::Observe(const std::string& name, const MetricLabels& labels, double value) {
  auto& family = this->summaries[name];
  const std::string key = RenderLabels(labels);
  if (!this->ReserveSeries(family.count(key) != 0)) return;
  auto& entry = family[key];
  if (!entry) entry = std::make_unique<detail::SummarySeries>();
  entry->Add(value);
}

void Metrics::RegisterGauge(const std::string& name, const MetricLabels& labels,
                            std::function<double()> read) {
  auto& family = this->gauges[name];
  const std::string key = RenderLabels(labels);
  if (this->ReserveSeries(family.count(key) != 0)) family[key] = std::move(read);
}

void Metrics::RegisterCounter(const std::string& name, const MetricLabels& labels,
                              std::function<double()> read) {
  auto& family = this->external_counters[name];
  const std::string key = RenderLabels(labels);
  if (this->ReserveSeries(family.count(key) != 0)) family[key] = std::move(read);
}

double Metrics::CounterValue(const std::string& name, const MetricLabels& labels) const {
  const auto family = this->counters.find(name);
  if (family == this->counters.end()) return 0;
  const auto found = family->second.find(RenderLabels(labels));
  return found == family->second.end() ? 0 : found->second;
}

std::string Metrics::Render() const {
  std::ostringstream out;
  // With the default precision of 6 digits, a counter above a million would appear not to change
  // between scrapes.
  out << std::setprecision(15);
  for (const auto& [name, family] : this->counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, value] : family)
      out << name << Braced(labels) << " " << value << "\n";
  }
  const auto render_read = [&out](const Family<std::function<double()>>& families,
                                  const char* type) {
    for (const auto& [name, family] : families) {
      out << "# TYPE " << name << " " << type << "\n";
      for (const auto& [labels, read] : family) {
        out << name << Braced(labels) << " " << read() << "\n";
      }
    }
  };
  render_read(this->gauges, "gauge");
  render_read(this->external_counters, "counter");
  for (const auto& [name, family] : this->summaries) {
    out << "# TYPE " << name << " summary\n";
    for (const auto& [labels, series] : family) {
      for (std::size_t i = 0; i < std::size(kQuantiles); ++i) {
        out << name << "{" << labels << (labels.empty() ? "" : ",") << "quantile=\""
            << kQuantiles[i] << "\"} " << series->Quantile(i) << "\n";
      }
      out << name << "_sum" << Braced(labels) << " " << series->Sum() << "\n";
      out << name << "_count" << Braced(labels) << " " << series->ObservationCount() << "\n";
    }
  }
  out << "# TYPE anvilcroft_metrics_dropped_total counter\nanvilcroft_metrics_dropped_total "
      << this->dropped << "\n";
  return out.str();
}

}  // namespace anvilcroft
