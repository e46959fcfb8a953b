#ifndef ANVILCROFT_FRONT_WATCH_H_
#define ANVILCROFT_FRONT_WATCH_H_

// Decisions about which front instances are live. All functions are pure; front_directory.h makes
// the calls to the store.
//
// Load pattern: any number of several hundred instances may be lost at the same moment, the one
// that watches the others among them, and callers must not be sent to them for long. At other times
// the store may be down for all instances, or refuse some, and then nobody may be taken for lost.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/front_record.h"

namespace anvilcroft {

// Time between heartbeats of one of `fronts` instances, whose heartbeats use at most a fifth of the
// `store_writes_per_s` writes that the store takes in a second.
Duration HeartbeatPeriod(std::size_t fronts, double store_writes_per_s);

// Age beyond which a heartbeat no longer shows that an instance is live. Covers a write that is
// lost and a slow one after it.
Duration HeartbeatLifetime(Duration period);

// Number of partitions for the heartbeats of `fronts` instances; a partition takes 200 writes a
// second. HeartbeatPartition returns the one of an instance.
std::size_t HeartbeatPartitions(std::size_t fronts);
std::string HeartbeatPartition(const std::string& instance, std::size_t fronts);

// Returns the ids of the instances in `fronts` that are not leaving and whose last sign of life, a
// heartbeat in `beats` or their entry, is older than `lifetime` at `store_time`.
std::set<std::string> FindDownFronts(const std::map<std::string, FrontRecord>& fronts,
                                     const std::map<std::string, StoreMillis>& beats,
                                     StoreMillis store_time, Duration lifetime);

// Returns the instances in `fronts` that callers may use: those that are neither leaving nor down.
std::vector<FrontRecord> FilterLiveFronts(const std::map<std::string, FrontRecord>& fronts,
                                          const std::set<std::string>& down);

// Whether an instance watches the others. One does at a time: the last watcher, or, if nothing has
// been heard of it for `silence`, the instances with a low `rank` in the order of takeover, one
// after the other, so that the loss of the first ones delays the watch only a little.
bool IsWatcher(bool was_last_watcher, Duration silence, int rank);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_WATCH_H_
