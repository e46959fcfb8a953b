#ifndef ANVILCROFT_FRONT_RECORD_H_
#define ANVILCROFT_FRONT_RECORD_H_

// The row of a front instance in the metadata store: where callers reach it, and when it last
// renewed the row.

#include <cstdint>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

struct FrontRecord {
  std::string instance;
  std::string zone;
  std::string region;
  std::string address;           // "ip:port" for callers
  std::string internal_address;  // "ip:port" for other instances; empty: none
  double cpu_share = 1;          // in cores
  bool leaving = false;          // about to stop
  StoreMillis renewed_at = 0;    // on the store's clock

  friend bool operator==(const FrontRecord& a, const FrontRecord& b) {
    return std::tie(a.instance, a.zone, a.region, a.address, a.internal_address, a.cpu_share,
                    a.leaving, a.renewed_at) == std::tie(b.instance, b.zone, b.region, b.address,
                                                         b.internal_address, b.cpu_share, b.leaving,
                                                         b.renewed_at);
  }
  friend bool operator!=(const FrontRecord& a, const FrontRecord& b) { return !(a == b); }
};

std::string EncodeFront(const FrontRecord& record);
// Fails if `value` is not a valid record.
Result<FrontRecord> DecodeFront(const std::string& value);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_RECORD_H_
