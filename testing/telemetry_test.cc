// Tests the output for operators: metrics in the Prometheus text format, log lines that input
// cannot forge, spans and the trace header.

#include <catch2/catch.hpp>
#include <iostream>
#include <random>
#include <regex>
#include <sstream>

#include "anvilcroft/log.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/process_stats.h"
#include "anvilcroft/trace_context.h"
#include "anvilcroft/tracer.h"

namespace anvilcroft {
namespace {

// Captures what is written to standard error during its lifetime.
class CapturedLog {
 public:
  CapturedLog() : saved(std::cerr.rdbuf(this->text.rdbuf())) {}
  ~CapturedLog() { std::cerr.rdbuf(this->saved); }
  std::string Text() const { return this->text.str(); }

 private:
  std::ostringstream text;
  std::streambuf* saved;
};

void CheckExposition(const std::string& text) {
  const std::regex line(
      R"(# TYPE [a-z_]+ (counter|gauge|summary)|[a-z_]+(\{([a-z_]+="([^"\\]|\\.)*",?)+\})? \S+)");
  std::istringstream in(text);
  for (std::string row; std::getline(in, row);) {
    INFO(row);
    CHECK(std::regex_match(row, line));
  }
}

TEST_CASE("metrics have the Prometheus text format", "[metrics]") {
  Metrics metrics;
  metrics.Increment("requests_total", {{"service", "a\"b\\c\nd"}, {"outcome", "ok"}}, 2);
  metrics.Increment("requests_total", {{"service", "a\"b\\c\nd"}, {"outcome", "ok"}});
  metrics.Increment("bytes_total", {}, 12345678901.0);
  metrics.RegisterGauge("in_flight", {}, [] { return 2.5; });
  for (int i = 1; i <= 100; ++i) metrics.Observe("seconds", {{"service", "s"}}, i);
  const std::string text = metrics.Render();
  CheckExposition(text + ReadProcessStats().Render());
  const auto has = [&](const std::string& row) {
    INFO(text);
    CHECK(("\n" + text).find("\n" + row + "\n") != std::string::npos);
  };
  has("# TYPE requests_total counter");
  has("requests_total{service=\"a\\\"b\\\\c\\nd\",outcome=\"ok\"} 3");
  // With only six significant digits, a large counter would seem not to change.
  has("bytes_total 12345678901");
  has("in_flight 2.5");
  has("seconds_sum{service=\"s\"} 5050");
  has("seconds_count{service=\"s\"} 100");
  CHECK(text.find("seconds{service=\"s\",quantile=\"0.99\"} ") != std::string::npos);
}

TEST_CASE("series beyond the limit are dropped and counted", "[metrics]") {
  Metrics metrics;
  for (std::size_t i = 0; i < Metrics::kMaxSeries + 10; ++i) {
    metrics.Increment("c_total", {{"i", std::to_string(i)}});
  }
  CHECK(metrics.Render().find("anvilcroft_metrics_dropped_total 10\n") != std::string::npos);
  CHECK(metrics.CounterValue("c_total", {{"i", "0"}}) == 1);
}

TEST_CASE("process statistics are read from the system", "[metrics]") {
  const ProcessStats stats = ReadProcessStats();
  CHECK(stats.resident_bytes > 100000);
  CHECK(stats.open_descriptors >= 3);
  CHECK(stats.max_descriptors >= stats.open_descriptors);
}

TEST_CASE("input cannot forge a log line", "[log]") {
  InitLog(LogLevel::kInfo);
  CapturedLog captured;
  LogInfo("config", "accepted a patch",
          {{"version", "7"},
           {"author", "a\n2026 ERROR forged \x1b[0m"},
           {"note", ""},
           {"q", "a\"\\ b"}});
  LogDebug("config", "not shown");
  const std::string text = captured.Text();
  CHECK(std::count(text.begin(), text.end(), '\n') == 1);
  const std::string expected =
      " INFO config: accepted a patch version=7 author=\"a\\x0a2026 ERROR forged \\x1b[0m\" "
      "note=\"\" q=\"a\\\"\\\\ b\"\n";
  REQUIRE(text.size() > expected.size());
  CHECK(text.substr(text.size() - expected.size()) == expected);
  CHECK(std::regex_match(text.substr(0, text.size() - expected.size()),
                         std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z)")));
}

TEST_CASE("a span is one line of OTLP JSON under its parent", "[trace]") {
  InitLog(LogLevel::kInfo);
  CapturedLog captured;
  Tracer tracer(1, "i-1", true);
  const Span parent = tracer.Start("route", TraceContext());
  Span child = tracer.Start("call", parent.Context());
  child.SetAttribute("target", "t\n\xff");
  tracer.End(child, "no_target");
  const std::string line = captured.Text();
  REQUIRE(line.rfind("trace: {", 0) == 0);
  CHECK(std::count(line.begin(), line.end(), '\n') == 1);
  CHECK(line.find("\"traceId\":\"" + parent.Context().trace_id) != std::string::npos);
  CHECK(line.find("\"parentSpanId\":\"" + parent.Context().span_id) != std::string::npos);
}

TEST_CASE("a trace header round-trips, and malformed ones are refused", "[trace]") {
  std::mt19937_64 random(3);
  const TraceContext context{RandomHex(random, 32), RandomHex(random, 16)};
  const std::string header = context.ToHeader();
  REQUIRE(ParseTraceParent(header));
  CHECK(*ParseTraceParent(header) == context);
  const std::string zeros(32, '0');
  for (const std::string& text :
       {std::string(), header.substr(1), header + "0", "01" + header.substr(2),
        "00-" + zeros + header.substr(35), header.substr(0, 36) + zeros.substr(16) + "-01",
        header.substr(0, 35) + "_" + header.substr(36),
        "00-" + std::string(32, 'A') + header.substr(35)}) {
    INFO(text);
    CHECK_FALSE(ParseTraceParent(text));
  }
}

}  // namespace
}  // namespace anvilcroft
