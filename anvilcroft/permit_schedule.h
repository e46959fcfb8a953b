#ifndef ANVILCROFT_PERMIT_SCHEDULE_H_
#define ANVILCROFT_PERMIT_SCHEDULE_H_

// Decides when requests may be sent to a target that takes a limited number of requests a second.
// All functions are pure.
//
// Load pattern: many instances hold requests for the same target and together send many times what
// it takes, whatever each of them does by itself. One instance, the target's keeper, therefore
// gives each request of all instances a time at which it may be sent. A request that can't wait
// that long is told when to ask again and goes elsewhere or is refused at once.
//
//   PermitSchedule schedule(limit, now);
//   const PermitAnswer answer = schedule.Request(max_wait, now);
//   if (answer.granted) ... send the request after answer.wait ...

#include <string>
#include <tuple>
#include <vector>

#include "anvilcroft/front_record.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct PermitAnswer {
  bool granted = false;
  // If granted: after this time the request may be sent. Otherwise: after this time another request
  // may be granted.
  Duration wait = Duration::zero();

  friend bool operator==(const PermitAnswer& a, const PermitAnswer& b) {
    return std::tie(a.granted, a.wait) == std::tie(b.granted, b.wait);
  }
  friend bool operator!=(const PermitAnswer& a, const PermitAnswer& b) { return !(a == b); }
};

class PermitSchedule {
 public:
  // Permits that were not requested are kept for this long, so that a target may get the requests
  // of a whole second at once, as when a training step starts.
  static constexpr Duration kMaxCredit = milliseconds(1000);

  // `per_second`: permits in a second, more than 0. The first one is for one interval after `now`,
  // because a former keeper may have granted one just before.
  PermitSchedule(double per_second, TimePoint now);

  // Time between permits at a rate.
  static Duration IntervalOf(double per_second);

  // Changes the rate of the permits that are granted from now on.
  void SetRate(double per_second);

  // Grants a permit if the next one is at most `max_wait` away.
  PermitAnswer Request(Duration max_wait, TimePoint now);

 private:
  Duration interval;
  TimePoint next;  // time of the next permit
};

// The names of the instances that keep the permits of `target`, in the order in which they are
// asked: the keeper, and a standby for requests that get no answer from it. Each is the best of
// `fronts` by rendezvous hashing, so that all instances with the same list agree.
constexpr std::size_t kPermitKeepers = 2;
std::vector<std::string> PermitKeepers(const std::vector<FrontRecord>& fronts,
                                       const std::string& target);

// As what an instance grants permits.
enum class PermitRole {
  kKeeper,
  kStandby,
  kAlone,  // to its own requests, because neither the keeper nor the standby answers
};

// Permits in a second that an instance grants in `role` for a target with a limit of `per_second`,
// if there are `instances`. Some instances may reach the keeper while others ask the standby and
// others reach neither, and all together must not exceed one and a half times the limit. The result
// is never zero, because only a request shows that a limit has ended.
double PermitRate(double per_second, PermitRole role, std::size_t instances);

}  // namespace anvilcroft

#endif  // ANVILCROFT_PERMIT_SCHEDULE_H_
