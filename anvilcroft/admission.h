#ifndef ANVILCROFT_ADMISSION_H_
#define ANVILCROFT_ADMISSION_H_

// Admission control of one service at one instance: a window of requests in flight and a bounded
// queue, ordered by priority and then by arrival. A part of the window is reserved for short work,
// so that it does not wait behind long work.
//
//   Result<AdmissionPermit> permit = admission.Enter(task, request, now);
//   if (!permit) return tl::unexpected<Error>(permit.error());   // kOverloaded, ran = no
//   ... the request is in flight until the last copy of the permit is destroyed ...

#include <cstddef>
#include <cstdint>
#include <memory>

#include "anvilcroft/cancellation.h"
#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/time.h"
#include "anvilcroft/work_request.h"

namespace anvilcroft {

namespace detail {
class AdmissionState;
}  // namespace detail

struct AdmissionLimits {
  int64_t max_in_flight = 64;
  int64_t max_queued = 256;
  double short_reserve = 0.25;  // fraction of the window that only short work may use
};

struct AdmissionRequest {
  Priority priority = Priority::kNormal;
  bool short_work = false;
  TimePoint deadline;
};

// Holds one slot of the in-flight window and releases it when the last copy is destroyed.
using AdmissionPermit = std::shared_ptr<void>;

class Admission {
 public:
  explicit Admission(AdmissionLimits limits);

  // Replaces the limits and admits waiting requests that now fit. Requests in flight are not
  // affected.
  void SetLimits(AdmissionLimits limits);

  // Acquires a slot of the in-flight window, waiting in the queue if none is free. Errors, each
  // with ran = no:
  //   kOverloaded: the expected wait exceeds the deadline, the queue is full of requests of the
  //   same or a higher priority, or a request of higher priority evicted this one from the queue;
  //   kDeadlineExceeded: the deadline passed in the queue.
  Result<AdmissionPermit> Enter(Task& task, const AdmissionRequest& request, TimePoint now);

  // Expected time that `request` would wait in the queue if it arrived now.
  Duration ExpectedWait(const AdmissionRequest& request) const;

  int64_t InFlight() const;
  std::size_t Queued() const;

 private:
  std::shared_ptr<detail::AdmissionState> state;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_ADMISSION_H_
