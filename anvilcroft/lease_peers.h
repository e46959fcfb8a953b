#ifndef ANVILCROFT_LEASE_PEERS_H_
#define ANVILCROFT_LEASE_PEERS_H_

// Asks other instances for the current holder of the owner lease. Used by a holder that cannot
// reach the metadata store.
//
// Load pattern: the store refuses calls from the holder and serves the other instances. A successor
// runs the same items, so the engines do the work twice until the former holder is told about it.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/http_client.h"
#include "anvilcroft/owner_lease.h"

namespace anvilcroft {

class LeasePeers {
 public:
  // Timeout of one call. The latency between instances is at most a few tens of milliseconds.
  static constexpr Duration kCallTimeout = milliseconds(150);
  static constexpr const char* kPath = "/lease";

  using Addresses = std::function<std::vector<std::string>()>;

  // `addresses` returns the internal addresses of the instances that would acquire the lease, the
  // likeliest first.
  LeasePeers(Runtime& runtime, Addresses addresses)
      : http(runtime), addresses(std::move(addresses)) {}

  // Returns the first record with a later term than `term` that an instance reports, nullopt if
  // none does. Skips instances that do not answer in time or whose answer cannot be decoded.
  std::optional<OwnerRecord> FindLaterRecord(Task& task, int64_t term);

 private:
  HttpClient http;
  Addresses addresses;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LEASE_PEERS_H_
