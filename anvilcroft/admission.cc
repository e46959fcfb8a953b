#include "anvilcroft/admission.h"

#include <algorithm>
#include <cmath>
#include <list>

#include "anvilcroft/event.h"

namespace anvilcroft {
namespace {

// Weight of one observation in the moving average of the time that a request is in flight.
constexpr double kServiceTimeWeight = 0.1;

struct Waiter {
  enum class Outcome { kWaiting, kEntered, kEvicted };

  AdmissionRequest request;
  Outcome outcome = Outcome::kWaiting;
  Event changed;
};

}  // namespace

namespace detail {

// Shared with the permits, which may be released after the Admission is destroyed.
class AdmissionState {
 public:
  explicit AdmissionState(AdmissionLimits limits) : limits(limits) {}

  int64_t LongLimit() const {
    const auto reserved = static_cast<int64_t>(
        std::floor(static_cast<double>(this->limits.max_in_flight) * this->limits.short_reserve));
    return std::max<int64_t>(1, this->limits.max_in_flight - reserved);
  }

  // Long work is limited to the unreserved slots; short work may use the whole window.
  bool HasCapacity(bool short_work) const {
    if (this->in_flight >= this->limits.max_in_flight) return false;
    return short_work || this->long_in_flight < this->LongLimit();
  }

  void Occupy(bool short_work) {
    ++this->in_flight;
    if (!short_work) ++this->long_in_flight;
  }

  void Release(bool short_work, Duration held) {
    --this->in_flight;
    if (!short_work) --this->long_in_flight;
    double& mean = short_work ? this->short_service_time : this->long_service_time;
    const double seconds_held = std::chrono::duration<double>(held).count();
    mean = mean == 0 ? seconds_held : mean + kServiceTimeWeight * (seconds_held - mean);
    this->AdmitWaiting();
  }

  // Admits waiting requests in queue order while slots are free. Short work overtakes long work
  // that waits for an unreserved slot.
  void AdmitWaiting() {
    for (auto at = this->queue.begin(); at != this->queue.end();) {
      const std::shared_ptr<Waiter> waiter = *at;
      if (!this->HasCapacity(waiter->request.short_work)) {
        ++at;
        continue;
      }
      this->Occupy(waiter->request.short_work);
      at = this->queue.erase(at);
      waiter->outcome = Waiter::Outcome::kEntered;
      waiter->changed.NotifyAll();
    }
  }

  static AdmissionPermit MakePermit(const std::shared_ptr<AdmissionState>& state, bool short_work) {
    return AdmissionPermit(nullptr, [state, short_work, entered = SteadyNow()](void*) {
      state->Release(short_work, SteadyNow() - entered);
    });
  }

  AdmissionLimits limits;
  int64_t in_flight = 0;
  int64_t long_in_flight = 0;
  double short_service_time = 0;  // mean seconds that a request is in flight
  double long_service_time = 0;
  std::list<std::shared_ptr<Waiter>> queue;  // by priority, then arrival
};

}  // namespace detail

Admission::Admission(AdmissionLimits limits)
    : state(std::make_shared<detail::AdmissionState>(limits)) {}

void Admission::SetLimits(AdmissionLimits limits) {
  this->state->limits = limits;
  this->state->AdmitWaiting();
}

Duration Admission::ExpectedWait(const AdmissionRequest& request) const {
  const detail::AdmissionState& current = *this->state;
  if (current.HasCapacity(request.short_work)) return Duration::zero();
  // Counts the queued requests ahead of this one that compete for the same slots. Each of them and
  // this request need a slot to become free.
  double ahead = 0;
  for (const auto& waiter : current.queue) {
    if (waiter->request.priority > request.priority) break;
    if (!request.short_work || waiter->request.short_work) ahead += 1;
  }
  const double service_time =
      request.short_work ? std::max(current.short_service_time, current.long_service_time * 0.1)
                         : std::max(current.long_service_time, current.short_service_time);
  const auto slots =
      static_cast<double>(request.short_work ? current.limits.max_in_flight : current.LongLimit());
  const double wait = (ahead + 1) * service_time / std::max(1.0, slots);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

Result<AdmissionPermit> Admission::Enter(Task& task, const AdmissionRequest& request,
                                         TimePoint now) {
  const std::shared_ptr<detail::AdmissionState> current = this->state;
  if (current->HasCapacity(request.short_work)) {
    current->Occupy(request.short_work);
    return detail::AdmissionState::MakePermit(current, request.short_work);
  }
  if (now + this->ExpectedWait(request) > request.deadline) {
    return Fail(ErrorCode::kOverloaded, "the expected wait exceeds the deadline");
  }
  auto& queue = current->queue;
  if (static_cast<int64_t>(queue.size()) >= current->limits.max_queued) {
    if (queue.empty() || queue.back()->request.priority <= request.priority) {
      return Fail(ErrorCode::kOverloaded, "the queue of the service is full");
    }
    const std::shared_ptr<Waiter> evicted = queue.back();
    queue.pop_back();
    evicted->outcome = Waiter::Outcome::kEvicted;
    evicted->changed.NotifyAll();
  }
  const auto waiter = std::make_shared<Waiter>();
  waiter->request = request;
  const auto position = std::find_if(queue.begin(), queue.end(), [&](const auto& other) {
    return other->request.priority > request.priority;
  });
  queue.insert(position, waiter);
  while (waiter->outcome == Waiter::Outcome::kWaiting) {
    if (!waiter->changed.WaitUntil(task, request.deadline) &&
        waiter->outcome == Waiter::Outcome::kWaiting) {
      queue.remove(waiter);
      return Fail(ErrorCode::kDeadlineExceeded, "the deadline passed while the request was queued");
    }
  }
  if (waiter->outcome == Waiter::Outcome::kEvicted) {
    return Fail(ErrorCode::kOverloaded, "evicted from the queue by a request of higher priority");
  }
  return detail::AdmissionState::MakePermit(current, request.short_work);
}

int64_t Admission::InFlight() const { return this->state->in_flight; }

std::size_t Admission::Queued() const { return this->state->queue.size(); }

}  // namespace anvilcroft
