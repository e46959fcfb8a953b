#ifndef ANVILCROFT_TRACER_H_
#define ANVILCROFT_TRACER_H_

// Spans, one for each hop of a request, in the OTLP JSON shape, one line each through the log.
//
//   Tracer tracer(seed, "instance-1", settings.Tracing());
//   Span span = tracer.Start("route", request.Trace());
//   span.Set("target", target.Id());
//   ... pass span.Context() to the next hop ...
//   tracer.End(span, "ok");
//
// OTLP: OpenTelemetry Protocol. Debian has no package of the OpenTelemetry C++ library.

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/time.h"
#include "anvilcroft/trace_context.h"

namespace anvilcroft {

class Span {
 public:
  const TraceContext& Context() const { return this->context; }
  void Set(std::string key, std::string value);

 private:
  friend class Tracer;

  std::string name;
  TraceContext context;
  std::string parent_span_id;
  int64_t start_nanos = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
};

class Tracer {
 public:
  Tracer(uint64_t seed, std::string instance, bool enabled);

  // Starts a span under `parent`, or a new trace if `parent` is not valid.
  Span Start(std::string name, const TraceContext& parent);

  // Writes the span. `status` is "ok" or the name of an error code.
  void End(const Span& span, const std::string& status);

 private:
  std::mt19937_64 random;
  std::string instance;
  bool enabled;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRACER_H_
