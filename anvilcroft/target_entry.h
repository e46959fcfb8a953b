#ifndef ANVILCROFT_TARGET_ENTRY_H_
#define ANVILCROFT_TARGET_ENTRY_H_

// A target's entry in the platform's list of targets, written by the target itself.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct TargetEntry {
  std::string id;
  WallMillis started_at = 0;  // together with `id` identifies one start of the target
  std::string service;
  std::string software;  // version of the target's software; empty: not known
  Endpoint address;
  std::string zone;
  int slots = 1;                               // capacity in concurrent requests
  bool draining = false;                       // accepts no new requests
  Duration cold_remaining = Duration::zero();  // remaining warm-up time, during which it is slow
  std::map<std::string, int64_t> versions;     // model engines: weight version by model
  bool reclaimable = false;  // a cheaper engine that the platform may take away at short notice
  // When the platform takes the engine away; nullopt: it has not announced that.
  std::optional<WallMillis> leaves_at;

  // Whether both entries describe the same target without a restart in between.
  bool IsSameStart(const TargetEntry& other) const {
    return this->id == other.id && this->started_at == other.started_at;
  }

  friend bool operator==(const TargetEntry& a, const TargetEntry& b) {
    return std::tie(a.id, a.started_at, a.service, a.software, a.address, a.zone, a.slots,
                    a.draining, a.cold_remaining, a.versions, a.reclaimable, a.leaves_at) ==
           std::tie(b.id, b.started_at, b.service, b.software, b.address, b.zone, b.slots,
                    b.draining, b.cold_remaining, b.versions, b.reclaimable, b.leaves_at);
  }
  friend bool operator!=(const TargetEntry& a, const TargetEntry& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_ENTRY_H_
