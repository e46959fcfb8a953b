#ifndef SOAK_FAULT_SCHEDULE_H_
#define SOAK_FAULT_SCHEDULE_H_

// The faults of a soak, drawn from its seed: what strikes when, and for how long. Faults overlap.

#include <cstdint>
#include <string>
#include <vector>

#include "anvilcroft/time.h"
#include "soak/site.h"

namespace anvilcroft::soak {

enum class FaultKind {
  kKill,          // SIGKILL of an instance, which starts again at the end
  kFreeze,        // SIGSTOP, and SIGCONT at the end
  kStop,          // SIGTERM; starts again once it has ended
  kReload,        // SIGHUP
  kStoreDown,     // the store answers 503
  kStoreSilent,   // the store answers nothing
  kStoreSlow,     // each answer of the store takes 250 ms longer
  kStoreLoses,    // some transactions are applied, at times late, and not answered
  kHistoryLost,   // the store forgets its history
  kStoreCut,      // the link of an instance to the store resets connections
  kStoreMuted,    // the same link carries nothing
  kTargetCut,     // the link of all instances to a target resets connections
  kTargetMuted,   // the same link carries nothing
  kEngineBreaks,  // the next runs of an engine break off after some events
  kConfigure,     // a new version of the configuration
};

struct Fault {
  FaultKind kind = FaultKind::kKill;
  Duration at{0};  // from the start of the faults
  Duration length{0};
  std::size_t which = 0;  // index of the instance or target, to be taken modulo their number
};

// Name of a kind in reports.
const char* FaultName(FaultKind kind);

// Faults that begin within `span`, in order.
std::vector<Fault> DrawFaults(uint64_t seed, Duration span);

// Plays `faults` on `site` and returns when all are over.
void PlayFaults(Task& task, Runtime& runtime, Site& site, const std::vector<Fault>& faults);

}  // namespace anvilcroft::soak

#endif  // SOAK_FAULT_SCHEDULE_H_
