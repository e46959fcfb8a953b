#ifndef ANVILCROFT_LOAD_REPORT_H_
#define ANVILCROFT_LOAD_REPORT_H_

// The load that a target reports in a response.

#include <tuple>

namespace anvilcroft {

struct LoadReport {
  int running = 0;  // requests
  int waiting = 0;  // requests in the target's queue
  int slots = 1;    // capacity in concurrent requests
  // Current processing time on the target's host as a multiple of the usual one.
  double slowdown = 1;

  friend bool operator==(const LoadReport& a, const LoadReport& b) {
    return std::tie(a.running, a.waiting, a.slots, a.slowdown) ==
           std::tie(b.running, b.waiting, b.slots, b.slowdown);
  }
  friend bool operator!=(const LoadReport& a, const LoadReport& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOAD_REPORT_H_
