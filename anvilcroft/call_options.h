#ifndef ANVILCROFT_CALL_OPTIONS_H_
#define ANVILCROFT_CALL_OPTIONS_H_

// How one HTTP call is made.

#include <memory>

#include "anvilcroft/cancellation.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class CallOptions {
 public:
  // Gives up at `deadline`, and when no byte arrives for `progress_timeout`.
  explicit CallOptions(TimePoint deadline, Duration progress_timeout = seconds(30))
      : deadline(deadline), progress_timeout(progress_timeout) {}

  // A copy that opens a new connection rather than take an idle one. An idle connection may have
  // been closed by the other side, which leaves it open whether the request ran.
  CallOptions WithFreshConnection() const;

  // A copy that sends the request again on a new connection when an idle connection turns out to
  // be closed before the first byte of the response. Only for requests that may be repeated.
  CallOptions WithResend() const;

  // A copy that ends with kCancelled when `cancellation` is cancelled.
  CallOptions WithCancellation(std::shared_ptr<Cancellation> cancellation) const;

  TimePoint Deadline() const { return this->deadline; }
  Duration ProgressTimeout() const { return this->progress_timeout; }
  bool FreshConnection() const { return this->fresh_connection; }
  bool Resend() const { return this->resend; }
  const std::shared_ptr<Cancellation>& CancelledBy() const { return this->cancellation; }

 private:
  TimePoint deadline;
  Duration progress_timeout;
  bool fresh_connection = false;
  bool resend = false;
  std::shared_ptr<Cancellation> cancellation;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CALL_OPTIONS_H_
