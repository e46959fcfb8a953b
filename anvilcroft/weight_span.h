#ifndef ANVILCROFT_WEIGHT_SPAN_H_
#define ANVILCROFT_WEIGHT_SPAN_H_

// A number of consecutive output tokens that were generated with one weight version, as reported by
// the engine.

#include <cstdint>
#include <tuple>

namespace anvilcroft {

struct WeightSpan {
  int64_t version = 0;
  int64_t tokens = 0;

  friend bool operator==(const WeightSpan& a, const WeightSpan& b) {
    return std::tie(a.version, a.tokens) == std::tie(b.version, b.tokens);
  }
  friend bool operator!=(const WeightSpan& a, const WeightSpan& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_WEIGHT_SPAN_H_
