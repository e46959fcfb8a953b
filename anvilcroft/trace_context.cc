#include "anvilcroft/trace_context.h"

#include <algorithm>

namespace anvilcroft {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

// The specification forbids upper-case digits and all-zero identifiers.
bool IsIdentifier(std::string_view text) {
  return text.find_first_not_of(kHexDigits) == std::string_view::npos &&
         text.find_first_not_of('0') != std::string_view::npos;
}

}  // namespace

std::string TraceContext::ToHeader() const {
  return "00-" + this->trace_id + "-" + this->span_id + "-01";
}

Result<TraceContext> ParseTraceParent(std::string_view header) {
  constexpr std::size_t kLength = 55;
  const bool has_valid_layout = header.size() == kLength && header.substr(0, 3) == "00-" &&
                                header[35] == '-' && header[52] == '-';
  if (!has_valid_layout || !IsIdentifier(header.substr(3, 32)) ||
      !IsIdentifier(header.substr(36, 16))) {
    return Fail(ErrorCode::kInvalidArgument, "malformed traceparent header", "traceparent");
  }
  return TraceContext{std::string(header.substr(3, 32)), std::string(header.substr(36, 16))};
}

std::string RandomHex(std::mt19937_64& random, int digits) {
  std::string text;
  uint64_t random_bits = 0;
  for (int i = 0; i < digits; ++i) {
    if (i % 16 == 0) random_bits = random();
    text += kHexDigits[random_bits & 0xf];
    random_bits >>= 4;
  }
  return text;
}

}  // namespace anvilcroft
