#ifndef SOAK_FAULT_SCHEDULE_H_
#define SOAK_FAULT_SCHEDULE_H_

// The faults of a soak, generated from its seed: kind, target, start and duration. Faults may
// overlap.

#include <cstdint>
#include <string>
#include <vector>

#include "anvilcroft/time.h"
#include "soak/site.h"

namespace anvilcroft::soak {

enum class FaultKind {
  kKill,          // SIGKILL to an instance; it is restarted at the end
  kFreeze,        // SIGSTOP to an instance; SIGCONT at the end
  kStop,          // SIGTERM to an instance; it is restarted once it has exited
  kReload,        // SIGHUP to an instance
  kStoreDown,     // the store answers 503
  kStoreSilent,   // the store does not answer
  kStoreSlow,     // the store delays each answer by 250 ms
  kStoreLoses,    // the store does not answer 3 transactions; applies them at once or 800 ms late
  kHistoryLost,   // the store drops the history of its change feeds
  kStoreCut,      // the link of an instance to the store resets connections
  kStoreMuted,    // the link of an instance to the store carries no data
  kTargetCut,     // the link of all instances to a target resets connections
  kTargetMuted,   // the link of all instances to a target carries no data
  kEngineBreaks,  // one run of an engine is aborted after 1 to 20 events
  kConfigure,     // the operator writes a new version of the configuration
  kTargetLimit,   // a target names a request limit of 1 to 20 a second
  kUpgrade,       // an engine is replaced by one with the other of two software versions
  kStranded,      // one or two of three instances lose their links to all targets
  kCrash,         // a target ends and is back soon; another one follows
  kLeave,         // an engine says that it leaves and is replaced
};

// The software version of engines besides fakes::PlatformEngine::kSoftware.
constexpr char kSecondSoftware[] = "v2";

struct Fault {
  FaultKind kind = FaultKind::kKill;
  Duration start{0};  // since the start of InjectFaults
  Duration duration{0};
  std::size_t index = 0;  // of the instance or target, modulo their number
};

// The name of a kind in log lines.
const char* FaultName(FaultKind kind);

// Generates the faults that start within `span`, sorted by start. The same seed generates the same
// faults.
std::vector<Fault> GenerateFaults(uint64_t seed, Duration span);

// Injects `faults` into `site` and returns when all have ended.
void InjectFaults(Task& task, Runtime& runtime, Site& site, const std::vector<Fault>& faults);

}  // namespace anvilcroft::soak

#endif  // SOAK_FAULT_SCHEDULE_H_
