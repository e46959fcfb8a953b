#ifndef ANVILCROFT_LEASE_PEERS_H_
#define ANVILCROFT_LEASE_PEERS_H_

// Asks other instances who holds the owner lease, for a holder that does not reach the metadata
// store.
//
// Load pattern: the store turns the holder away and serves the others. A successor runs the same
// items meanwhile; until the former holder learns of it, every engine has twice the work.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/http_client.h"
#include "anvilcroft/owner_lease.h"

namespace anvilcroft {

class LeasePeers {
 public:
  // Time for one answer. Instances are at most a few tens of milliseconds away.
  static constexpr Duration kCallTimeout = milliseconds(150);
  static constexpr const char* kPath = "/lease";

  using Addresses = std::function<std::vector<std::string>()>;

  // `addresses` are those of the instances that would take the lease, the likeliest first.
  LeasePeers(Runtime& runtime, Addresses addresses)
      : http(runtime), addresses(std::move(addresses)) {}

  // The first record of a later term than `term` that an instance reports; nullopt if none does.
  // Answers that do not come or cannot be read are left out.
  std::optional<OwnerRecord> LaterThan(Task& task, int64_t term);

 private:
  HttpClient http;
  Addresses addresses;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LEASE_PEERS_H_
