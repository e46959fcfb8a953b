#ifndef ANVILCROFT_FRONT_RECORD_H_
#define ANVILCROFT_FRONT_RECORD_H_

// The rows by which front instances know each other; front_directory.h describes their use.

#include <cstdint>
#include <set>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

// The entry of an instance, which it writes when it starts, when it leaves, and when it loses its
// paths to the targets or has them back.
struct FrontRecord {
  std::string instance;
  std::string zone;
  std::string region;
  std::string address;           // "ip:port" for callers
  std::string internal_address;  // "ip:port" for other instances; empty: none
  double cpu_share = 1;          // in cores
  bool leaving = false;          // about to stop
  bool cut_off = false;          // it can reach no target
  bool relays = false;           // it sends requests for others (target_relay.h)
  bool slices = false;           // it takes part in slices (fleet/slice_view.h)
  StoreMillis written_at = 0;    // on the store's clock

  friend bool operator==(const FrontRecord& a, const FrontRecord& b) {
    return std::tie(a.instance, a.zone, a.region, a.address, a.internal_address, a.cpu_share,
                    a.leaving, a.cut_off, a.relays, a.slices, a.written_at) ==
           std::tie(b.instance, b.zone, b.region, b.address, b.internal_address, b.cpu_share,
                    b.leaving, b.cut_off, b.relays, b.slices, b.written_at);
  }
  friend bool operator!=(const FrontRecord& a, const FrontRecord& b) { return !(a == b); }
};

std::string EncodeFront(const FrontRecord& record);
// Fails if `value` is not a valid record.
Result<FrontRecord> DecodeFront(const std::string& value);

// A heartbeat of an instance: the time at which it was written.
std::string EncodeHeartbeat(StoreMillis written_at);
Result<StoreMillis> DecodeHeartbeat(const std::string& value);

// What the watcher has found.
struct FrontWatch {
  std::string watcher;         // id of the instance that watches
  int64_t round = 0;           // increases with each write
  std::set<std::string> down;  // ids of the instances whose heartbeats have stopped

  friend bool operator==(const FrontWatch& a, const FrontWatch& b) {
    return std::tie(a.watcher, a.round, a.down) == std::tie(b.watcher, b.round, b.down);
  }
  friend bool operator!=(const FrontWatch& a, const FrontWatch& b) { return !(a == b); }
};

std::string EncodeWatch(const FrontWatch& watch);
Result<FrontWatch> DecodeWatch(const std::string& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_RECORD_H_
