#ifndef ANVILCROFT_LEASE_PEERS_H_
#define ANVILCROFT_LEASE_PEERS_H_

// Calls to other instances about the owner lease: a holder that cannot reach the metadata store
// asks for a later holder and offers its lease, and possible successors check whether the holder's
// process has ended.
//
// Load pattern: the store refuses calls from the holder and serves the other instances. A successor
// runs the same items, so the engines do the work twice until the former holder is told about it.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/http_client.h"
#include "anvilcroft/owner_handover.h"
#include "anvilcroft/owner_lease.h"

namespace anvilcroft {

class LeasePeers {
 public:
  // Timeout of one call. The latency between instances is at most a few tens of milliseconds.
  static constexpr Duration kCallTimeout = milliseconds(150);
  static constexpr const char* kPath = "/lease";
  static constexpr const char* kOfferPath = "/lease/offer";
  // Timeout of an offer, in which the other instance makes two calls to the store, and the number
  // of instances that get one.
  static constexpr Duration kOfferTimeout = milliseconds(800);
  static constexpr std::size_t kMaxOffers = 2;

  // `path` of calls about the lease of another slice than the first. Builds without slices answer
  // with another status or with text that is no record.
  static std::string SlicePath(const char* path, int slice) {
    return slice == 0 ? path : std::string(path) + "/" + std::to_string(slice);
  }

  using Addresses = std::function<std::vector<std::string>()>;

  // `addresses` returns the internal addresses of the instances that would acquire the lease, the
  // likeliest first.
  LeasePeers(Runtime& runtime, Addresses addresses, int slice = 0)
      : http(runtime), addresses(std::move(addresses)), slice(slice) {}

  // Returns the first record with a later term than `term` that an instance reports, nullopt if
  // none does. Skips instances that do not answer in time or whose answer cannot be decoded.
  std::optional<OwnerRecord> FindLaterRecord(Task& task, int64_t term);

  // Offers the lease to one instance after the other until one does not decline it.
  HandoverAnswer OfferLease(Task& task, const OwnerHandover& handover);

  // Whether the process of the instance with the internal address `address` has ended: its host
  // refuses connections. False if it does not answer.
  static bool HasEnded(Task& task, const std::string& address);

 private:
  HttpClient http;
  Addresses addresses;
  int slice;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LEASE_PEERS_H_
