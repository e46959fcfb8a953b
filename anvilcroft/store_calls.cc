#include "anvilcroft/store_calls.h"

#include <chrono>
#include <string>

#include "anvilcroft/log.h"

namespace anvilcroft {

void StoreCalls::Record(const char* call, const char* outcome, Duration took, bool reachable) {
  this->metrics.Increment("anvilcroft_store_calls_total", {{"call", call}, {"outcome", outcome}});
  this->metrics.Observe("anvilcroft_store_call_seconds", {{"call", call}},
                        std::chrono::duration<double>(took).count());
  if (reachable == this->was_reachable) return;
  this->was_reachable = reachable;
  LogInfo("store",
          reachable ? "the metadata store answers again" : "a call to the metadata store failed",
          {{"call", call}, {"outcome", outcome}, {"ms", std::to_string(ToMillis(took))}});
}

}  // namespace anvilcroft
