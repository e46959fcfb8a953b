#ifndef ANVILCROFT_TRACER_H_
#define ANVILCROFT_TRACER_H_

// Writes trace spans, one for each hop of a request, to the log. Each span is one line in the JSON
// format of OTLP (OpenTelemetry Protocol). Debian has no package of the OpenTelemetry C++ library.
//
//   Tracer tracer(seed, "instance-1", settings.Tracing());
//   Span span = tracer.Start("route", request.Trace());
//   span.SetAttribute("target", target.Id());
//   ... pass span.Context() to the next hop ...
//   tracer.End(span, "ok");

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
  void SetAttribute(std::string key, std::string value);

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
  // `seed` seeds the generator of trace and span ids. If `enabled` is false, spans carry ids as
  // usual but are not written.
  Tracer(uint64_t seed, std::string instance, bool enabled);

  // Starts a child span of `parent`, or a new trace if `parent` is not valid.
  Span Start(std::string name, const TraceContext& parent);

  // Ends the span now and writes it. `status` is "ok" or the name of an error code.
  void End(const Span& span, const std::string& status);

 private:
  std::mt19937_64 random;
  std::string instance;
  bool enabled;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRACER_H_
