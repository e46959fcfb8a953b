#ifndef ANVILCROFT_LOAD_REPORT_H_
#define ANVILCROFT_LOAD_REPORT_H_

// What a target says of its load in a response.

#include <tuple>

namespace anvilcroft {

struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // How long work takes on the target's host at this moment, as a multiple of the usual time.
  double slowdown = 1;

  friend bool operator==(const LoadReport& a, const LoadReport& b) {
    return std::tie(a.running, a.waiting, a.slots, a.slowdown) ==
           std::tie(b.running, b.waiting, b.slots, b.slowdown);
  }
  friend bool operator!=(const LoadReport& a, const LoadReport& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOAD_REPORT_H_
