#include "anvilcroft/tracer.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

int64_t WallNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void Span::SetAttribute(std::string key, std::string value) {
  this->attributes.emplace_back(std::move(key), std::move(value));
}

Tracer::Tracer(uint64_t seed, std::string instance, bool enabled)
    : random(seed), instance(std::move(instance)), enabled(enabled) {}

Span Tracer::Start(std::string name, const TraceContext& parent) {
  Span span;
  span.name = std::move(name);
  span.context.trace_id = parent.Valid() ? parent.trace_id : RandomHex(this->random, 32);
  span.context.span_id = RandomHex(this->random, 16);
  span.parent_span_id = parent.span_id;
  span.start_nanos = WallNanos();
  return span;
}

void Tracer::End(const Span& span, const std::string& status) {
  if (!this->enabled) return;
  nlohmann::json attributes = nlohmann::json::array();
  const auto add = [&](const std::string& key, const std::string& value) {
    attributes.push_back({{"key", key}, {"value", {{"stringValue", value}}}});
  };
  add("service.instance.id", this->instance);
  for (const auto& [key, value] : span.attributes) add(key, value);
  if (status != "ok") add("error.code", status);
  constexpr int kStatusOk = 1;     // STATUS_CODE_OK
  constexpr int kStatusError = 2;  // STATUS_CODE_ERROR
  const nlohmann::json line = {{"traceId", span.context.trace_id},
                               {"spanId", span.context.span_id},
                               {"parentSpanId", span.parent_span_id},
                               {"name", span.name},
                               {"startTimeUnixNano", std::to_string(span.start_nanos)},
                               {"endTimeUnixNano", std::to_string(WallNanos())},
                               {"attributes", attributes},
                               {"status", {{"code", status == "ok" ? kStatusOk : kStatusError}}}};
  LogRaw("trace: " + DumpJson(line));
}

}  // namespace anvilcroft
