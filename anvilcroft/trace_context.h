#ifndef ANVILCROFT_TRACE_CONTEXT_H_
#define ANVILCROFT_TRACE_CONTEXT_H_

// The trace id and parent span id of a request, as carried in the W3C Trace Context header
// "traceparent".

#include <random>
#include <string>
#include <string_view>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct TraceContext {
  std::string trace_id;  // 32 hexadecimal digits
  std::string span_id;   // 16 hexadecimal digits; the parent of the spans of the next hop

  bool Valid() const { return !this->trace_id.empty(); }

  // Returns the value of the header: "00-<trace id>-<span id>-01".
  std::string ToHeader() const;

  friend bool operator==(const TraceContext& a, const TraceContext& b) {
    return std::tie(a.trace_id, a.span_id) == std::tie(b.trace_id, b.span_id);
  }
  friend bool operator!=(const TraceContext& a, const TraceContext& b) { return !(a == b); }
};

// Parses the value of a traceparent header. Fails with kInvalidArgument if it is malformed; the
// caller should then start a new trace.
Result<TraceContext> ParseTraceParent(std::string_view header);

// Returns `digits` random lower-case hexadecimal digits.
std::string RandomHex(std::mt19937_64& random, int digits);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRACE_CONTEXT_H_
