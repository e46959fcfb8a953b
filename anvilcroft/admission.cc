#include "anvilcroft/admission.h"

#include <algorithm>
#include <cmath>
#include <list>

#include "anvilcroft/event.h"

namespace anvilcroft {
namespace {

// Weight of one observation in the mean time that a request holds its place.
constexpr double kHoldWeight = 0.1;

struct Waiter {
  enum class Outcome { kWaiting, kEntered, kEvicted };

  AdmissionRequest request;
  Outcome outcome = Outcome::kWaiting;
  Event changed;
};

}  // namespace

namespace detail {

// Shared with the permits, which may be released after the Admission is gone.
class AdmissionState {
 public:
  explicit AdmissionState(AdmissionLimits limits) : limits(limits) {}

  int64_t LongLimit() const {
    const auto reserved = static_cast<int64_t>(
        std::floor(static_cast<double>(this->limits.max_in_flight) * this->limits.short_reserve));
    return std::max<int64_t>(1, this->limits.max_in_flight - reserved);
  }

  // Long work may take at most the part that is not reserved; short work may take the whole
  // window.
  bool Fits(bool short_work) const {
    if (this->in_flight >= this->limits.max_in_flight) return false;
    return short_work || this->long_in_flight < this->LongLimit();
  }

  void Take(bool short_work) {
    ++this->in_flight;
    if (!short_work) ++this->long_in_flight;
  }

  void Leave(bool short_work, Duration held) {
    --this->in_flight;
    if (!short_work) --this->long_in_flight;
    double& mean = short_work ? this->short_hold : this->long_hold;
    const double seconds_held = std::chrono::duration<double>(held).count();
    mean = mean == 0 ? seconds_held : mean + kHoldWeight * (seconds_held - mean);
    this->Grant();
  }

  // Gives free places to the waiting requests in their order. Short work passes long work that
  // has no place.
  void Grant() {
    for (auto at = this->queue.begin(); at != this->queue.end();) {
      const std::shared_ptr<Waiter> waiter = *at;
      if (!this->Fits(waiter->request.short_work)) {
        ++at;
        continue;
      }
      this->Take(waiter->request.short_work);
      at = this->queue.erase(at);
      waiter->outcome = Waiter::Outcome::kEntered;
      waiter->changed.NotifyAll();
    }
  }

  static AdmissionPermit MakePermit(const std::shared_ptr<AdmissionState>& state, bool short_work) {
    return AdmissionPermit(nullptr, [state, short_work, entered = SteadyNow()](void*) {
      state->Leave(short_work, SteadyNow() - entered);
    });
  }

  AdmissionLimits limits;
  int64_t in_flight = 0;
  int64_t long_in_flight = 0;
  double short_hold = 0;  // mean seconds that a request holds its place
  double long_hold = 0;
  std::list<std::shared_ptr<Waiter>> queue;  // by priority, then arrival
};

}  // namespace detail

Admission::Admission(AdmissionLimits limits)
    : state(std::make_shared<detail::AdmissionState>(limits)) {}

void Admission::SetLimits(AdmissionLimits limits) {
  this->state->limits = limits;
  this->state->Grant();
}

Duration Admission::ExpectedWait(const AdmissionRequest& request) const {
  const detail::AdmissionState& known = *this->state;
  if (known.Fits(request.short_work)) return Duration::zero();
  // Places that come free before this request's turn: its own and those of the requests ahead
  // that compete for the same places.
  double ahead = 0;
  for (const auto& waiter : known.queue) {
    if (waiter->request.priority > request.priority) break;
    if (!request.short_work || waiter->request.short_work) ahead += 1;
  }
  const double hold = request.short_work ? std::max(known.short_hold, known.long_hold * 0.1)
                                         : std::max(known.long_hold, known.short_hold);
  const auto places =
      static_cast<double>(request.short_work ? known.limits.max_in_flight : known.LongLimit());
  const double wait = (ahead + 1) * hold / std::max(1.0, places);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

Result<AdmissionPermit> Admission::Enter(Task& task, const AdmissionRequest& request,
                                         TimePoint now) {
  const std::shared_ptr<detail::AdmissionState> known = this->state;
  if (known->Fits(request.short_work)) {
    known->Take(request.short_work);
    return detail::AdmissionState::MakePermit(known, request.short_work);
  }
  if (now + this->ExpectedWait(request) > request.deadline) {
    return Fail(ErrorCode::kOverloaded, "the expected wait exceeds the deadline");
  }
  auto& queue = known->queue;
  if (static_cast<int64_t>(queue.size()) >= known->limits.max_queued) {
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
  const auto place = std::find_if(queue.begin(), queue.end(), [&](const auto& other) {
    return other->request.priority > request.priority;
  });
  queue.insert(place, waiter);
  while (waiter->outcome == Waiter::Outcome::kWaiting) {
    if (!waiter->changed.WaitUntil(task, request.deadline) &&
        waiter->outcome == Waiter::Outcome::kWaiting) {
      queue.remove(waiter);
      return Fail(ErrorCode::kDeadlineExceeded, "the deadline passed in the queue");
    }
  }
  if (waiter->outcome == Waiter::Outcome::kEvicted) {
    return Fail(ErrorCode::kOverloaded, "a request of higher priority took the place in the queue");
  }
  return detail::AdmissionState::MakePermit(known, request.short_work);
}

int64_t Admission::InFlight() const { return this->state->in_flight; }

std::size_t Admission::Queued() const { return this->state->queue.size(); }

}  // namespace anvilcroft
