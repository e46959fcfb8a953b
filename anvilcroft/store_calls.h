#ifndef ANVILCROFT_STORE_CALLS_H_
#define ANVILCROFT_STORE_CALLS_H_

// Counts the calls to the metadata store, and logs when it stops and starts to answer.

#include "anvilcroft/metrics.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class StoreCalls {
 public:
  explicit StoreCalls(Metrics& metrics) : metrics(metrics) {}

  // Records a call that took `took`. `reachable`: the last call that ended was answered.
  void Record(const char* call, const char* outcome, Duration took, bool reachable);

 private:
  Metrics& metrics;
  bool was_reachable = true;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STORE_CALLS_H_
