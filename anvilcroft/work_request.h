#ifndef ANVILCROFT_WORK_REQUEST_H_
#define ANVILCROFT_WORK_REQUEST_H_

// A request to an operation of a service, from a caller or for a sample. Immutable; made by
// WorkRequest::Builder.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tuple>

#include "anvilcroft/cancellation.h"
#include "anvilcroft/time.h"
#include "anvilcroft/trace_context.h"

namespace anvilcroft {

enum class Priority { kHigh, kNormal, kLow };

class WorkRequest {
 public:
  class Builder;

  const std::string& Service() const { return this->service; }
  const std::string& Operation() const { return this->operation; }
  // Identifies this request at this instance and at targets; every response must carry it.
  const std::string& RequestId() const { return this->request_id; }
  // Empty for repeatable operations without a key.
  const std::string& IdempotencyKey() const { return this->idempotency_key; }
  TimePoint Deadline() const { return this->deadline; }
  Priority RequestPriority() const { return this->priority; }
  // The JSON body as the caller sent it.
  const std::string& Body() const { return this->body; }
  // Whether the caller asked for server-sent events.
  bool Stream() const { return this->stream; }
  const TraceContext& Trace() const { return this->trace; }
  // Ids of targets that must not be used, such as the one that runs the first copy of a straggler.
  const std::set<std::string>& Excluded() const { return this->excluded; }
  // Null if the request cannot be cancelled.
  const std::shared_ptr<Cancellation>& CancellationToken() const { return this->cancellation; }
  // Called with the id of each target directly before the request is sent to it; may be empty. For
  // a straggler, it gives the target to exclude for the second copy.
  const std::function<void(const std::string& target_id)>& OnDispatch() const {
    return this->on_dispatch;
  }

  friend bool operator==(const WorkRequest& a, const WorkRequest& b) {
    return std::tie(a.service, a.operation, a.request_id, a.idempotency_key, a.deadline, a.priority,
                    a.body, a.stream,
                    a.excluded) == std::tie(b.service, b.operation, b.request_id, b.idempotency_key,
                                            b.deadline, b.priority, b.body, b.stream, b.excluded);
  }
  friend bool operator!=(const WorkRequest& a, const WorkRequest& b) { return !(a == b); }

 private:
  std::string service;
  std::string operation;
  std::string request_id;
  std::string idempotency_key;
  TimePoint deadline;
  Priority priority = Priority::kNormal;
  std::string body;
  bool stream = false;
  TraceContext trace;
  std::set<std::string> excluded;
  std::shared_ptr<Cancellation> cancellation;
  std::function<void(const std::string&)> on_dispatch;
};

class WorkRequest::Builder {
 public:
  Builder& SetService(std::string value);
  Builder& SetOperation(std::string value);
  Builder& SetRequestId(std::string value);
  Builder& SetIdempotencyKey(std::string value);
  Builder& SetDeadline(TimePoint value);
  Builder& SetPriority(Priority value);
  Builder& SetBody(std::string value);
  Builder& SetStream(bool value);
  Builder& SetTrace(TraceContext value);
  Builder& SetExcluded(std::set<std::string> value);
  Builder& SetCancellation(std::shared_ptr<Cancellation> value);
  Builder& SetOnDispatch(std::function<void(const std::string& target_id)> value);
  WorkRequest Build() const { return this->request; }

 private:
  WorkRequest request;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_WORK_REQUEST_H_
