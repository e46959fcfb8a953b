#include "anvilcroft/work_request.h"

#include <utility>

namespace anvilcroft {

WorkRequest::Builder& WorkRequest::Builder::SetService(std::string value) {
  this->request.service = std::move(value);
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetOperation(std::string value) {
  this->request.operation = std::move(value);
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetRequestId(std::string value) {
  this->request.request_id = std::move(value);
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetIdempotencyKey(std::string value) {
  this->request.idempotency_key = std::move(value);
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetDeadline(TimePoint value) {
  this->request.deadline = value;
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetPriority(Priority value) {
  this->request.priority = value;
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetBody(std::string value) {
  this->request.body = std::move(value);
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetStream(bool value) {
  this->request.stream = value;
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetTrace(TraceContext value) {
  this->request.trace = std::move(value);
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetExcluded(std::set<std::string> value) {
  this->request.excluded = std::move(value);
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetCancellation(std::shared_ptr<Cancellation> value) {
  this->request.cancellation = std::move(value);
  return *this;
}

WorkRequest::Builder& WorkRequest::Builder::SetOnDispatch(
    std::function<void(const std::string&)> value) {
  this->request.on_dispatch = std::move(value);
  return *this;
}

}  // namespace anvilcroft
