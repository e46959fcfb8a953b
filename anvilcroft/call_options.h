#ifndef ANVILCROFT_CALL_OPTIONS_H_
#define ANVILCROFT_CALL_OPTIONS_H_

// Options of one HTTP call.

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "anvilcroft/cancellation.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class CallOptions {
 public:
  // The call fails at `deadline`, or when no byte arrives for `progress_timeout`.
  explicit CallOptions(TimePoint deadline, Duration progress_timeout = seconds(30))
      : deadline(deadline), progress_timeout(progress_timeout) {}

  // A copy that always opens a new connection. An idle connection may just have been closed by the
  // peer, and then it is unknown whether the request ran.
  CallOptions WithFreshConnection() const;

  // A copy that sends the request again on a new connection if a reused one turns out to be closed
  // before the first byte of the response. Only for requests that may run more than once.
  CallOptions WithResend() const;

  // A copy that fails with kCancelled when `cancellation` is cancelled.
  CallOptions WithCancellation(std::shared_ptr<Cancellation> cancellation) const;

  // A copy that uses `timeout` instead of HttpClient::kConnectTimeout.
  CallOptions WithConnectTimeout(Duration timeout) const;

  // A copy that calls `guard` right before the first byte of the request is written, and fails with
  // kCancelled and ran = kNo if it returns false. For permissions, such as leases, that may expire
  // while the connection is being established.
  CallOptions WithSendGuard(std::function<bool()> guard) const;

  // A copy that accepts only a response whose header `name` has `value`. On a reused connection,
  // responses with another value are late duplicates of earlier ones and are skipped.
  CallOptions WithResponseField(std::string name, std::string value) const;

  // A copy that is sent on a connection that has not carried a request with this id. After a
  // request was answered, its connection may still deliver a second copy of the answer, which
  // nothing tells from the answer to a later request with the same id.
  CallOptions WithRequestId(std::string id) const;

  // A copy that fails with kBadResponse if the body that HttpClient::Call reads is larger. The
  // default is HttpClient::kMaxResponseBytes.
  CallOptions WithMaxResponseBytes(std::size_t bytes) const;

  TimePoint Deadline() const { return this->deadline; }
  Duration ProgressTimeout() const { return this->progress_timeout; }
  bool FreshConnection() const { return this->fresh_connection; }
  bool Resend() const { return this->resend; }
  const std::shared_ptr<Cancellation>& CancellationToken() const { return this->cancellation; }
  const std::optional<std::size_t>& MaxResponseBytes() const { return this->max_response_bytes; }
  const std::optional<Duration>& ConnectTimeout() const { return this->connect_timeout; }
  const std::function<bool()>& SendGuard() const { return this->send_guard; }
  const std::string& RequestId() const { return this->request_id; }  // empty: none
  // Name and value; an empty name: any response is accepted.
  const std::pair<std::string, std::string>& ResponseField() const { return this->response_field; }

 private:
  TimePoint deadline;
  Duration progress_timeout;
  bool fresh_connection = false;
  bool resend = false;
  std::shared_ptr<Cancellation> cancellation;
  std::optional<std::size_t> max_response_bytes;
  std::optional<Duration> connect_timeout;
  std::function<bool()> send_guard;
  std::pair<std::string, std::string> response_field;
  std::string request_id;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CALL_OPTIONS_H_
