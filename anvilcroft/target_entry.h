#ifndef ANVILCROFT_TARGET_ENTRY_H_
#define ANVILCROFT_TARGET_ENTRY_H_

// What a target says of itself in the platform's list of targets.

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct TargetEntry {
  std::string id;
  WallMillis started_at = 0;  // with `id`, names one start of the target
  std::string service;
  Endpoint address;
  std::string zone;
  int slots = 1;                               // requests that run at once
  bool draining = false;                       // takes no new work
  Duration cold_remaining = Duration::zero();  // how much longer it is slow after its start
  std::map<std::string, int64_t> versions;     // model engines: weight version by model

  // Whether both entries speak of the same start of the same target.
  bool IsSameStart(const TargetEntry& other) const {
    return this->id == other.id && this->started_at == other.started_at;
  }

  friend bool operator==(const TargetEntry& a, const TargetEntry& b) {
    return std::tie(a.id, a.started_at, a.service, a.address, a.zone, a.slots, a.draining,
                    a.cold_remaining,
                    a.versions) == std::tie(b.id, b.started_at, b.service, b.address, b.zone,
                                            b.slots, b.draining, b.cold_remaining, b.versions);
  }
  friend bool operator!=(const TargetEntry& a, const TargetEntry& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_ENTRY_H_
