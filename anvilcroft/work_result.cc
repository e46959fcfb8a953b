#include "anvilcroft/work_result.h"

#include <utility>

namespace anvilcroft {

WorkResult::Builder& WorkResult::Builder::SetStatus(int value) {
  this->result.status = value;
  return *this;
}

WorkResult::Builder& WorkResult::Builder::SetContentType(std::string value) {
  this->result.content_type = std::move(value);
  return *this;
}

WorkResult::Builder& WorkResult::Builder::SetBody(std::string value) {
  this->result.body = std::move(value);
  return *this;
}

WorkResult::Builder& WorkResult::Builder::SetTargetId(std::string value) {
  this->result.target_id = std::move(value);
  return *this;
}

WorkResult::Builder& WorkResult::Builder::SetSpans(std::vector<WeightSpan> value) {
  this->result.spans = std::move(value);
  return *this;
}

WorkResult::Builder& WorkResult::Builder::SetReplayed(bool value) {
  this->result.replayed = value;
  return *this;
}

}  // namespace anvilcroft
