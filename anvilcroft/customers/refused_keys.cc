#include "anvilcroft/customers/refused_keys.h"

#include "anvilcroft/log.h"

namespace anvilcroft {

void RecordRefusedKey(Metrics& metrics, const CallerIdentity& caller, const std::string& request) {
  const char* key = caller.key == KeyState::kMissing ? "missing" : "unknown";
  metrics.Increment("anvilcroft_refused_keys_total", {{"key", key}});
  LogInfo("live", "refused a request for its key", {{"request", request}, {"key", key}});
}

}  // namespace anvilcroft
