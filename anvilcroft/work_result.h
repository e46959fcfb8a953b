#ifndef ANVILCROFT_WORK_RESULT_H_
#define ANVILCROFT_WORK_RESULT_H_

// The complete response of a target to one WorkRequest. Immutable; made by WorkResult::Builder.

#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "anvilcroft/weight_span.h"

namespace anvilcroft {

class WorkResult {
 public:
  class Builder;

  // Status of the target's response.
  int Status() const { return this->status; }
  const std::string& ContentType() const { return this->content_type; }
  // Complete body. For model engines the JSON object {request_id, tokens, text, spans, finish},
  // also when the request was streamed.
  const std::string& Body() const { return this->body; }
  // The target that completed the work.
  const std::string& TargetId() const { return this->target_id; }
  // For model engines: the weight versions that produced the output, in order, from all targets
  // that produced part of it. Empty if any part of the output came without a version.
  const std::vector<WeightSpan>& Spans() const { return this->spans; }
  // Whether the response was recorded by an earlier request with the same idempotency key.
  bool Replayed() const { return this->replayed; }

  friend bool operator==(const WorkResult& a, const WorkResult& b) {
    return std::tie(a.status, a.content_type, a.body, a.target_id, a.spans, a.replayed) ==
           std::tie(b.status, b.content_type, b.body, b.target_id, b.spans, b.replayed);
  }
  friend bool operator!=(const WorkResult& a, const WorkResult& b) { return !(a == b); }

 private:
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::string target_id;
  std::vector<WeightSpan> spans;
  bool replayed = false;
};

class WorkResult::Builder {
 public:
  Builder() = default;
  explicit Builder(WorkResult result) : result(std::move(result)) {}

  Builder& SetStatus(int value);
  Builder& SetContentType(std::string value);
  Builder& SetBody(std::string value);
  Builder& SetTargetId(std::string value);
  Builder& SetSpans(std::vector<WeightSpan> value);
  Builder& SetReplayed(bool value);
  WorkResult Build() const { return this->result; }

 private:
  WorkResult result;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_WORK_RESULT_H_
