#ifndef ANVILCROFT_INTERNAL_API_H_
#define ANVILCROFT_INTERNAL_API_H_

// The interface at the internal address of an instance: calls of other instances, and metrics.

#include <functional>
#include <utility>

#include "anvilcroft/batch_owner.h"
#include "anvilcroft/customers/config_peers.h"
#include "anvilcroft/fleet/slice_owners.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/lease_keeper.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/request_limiter.h"
#include "anvilcroft/target_relay.h"

namespace anvilcroft {

class InternalApi {
 public:
  // The parts that answer the calls.
  struct Parts {
    TargetRelay& relay;
    RequestLimiter& limiter;
    LeaseKeeper& lease;
    SliceOwners& slices;
    BatchOwner& owner;
    ConfigPeers& config;
    Metrics& metrics;
    std::function<bool()> stopping;  // this instance stops and takes no lease
  };

  explicit InternalApi(Parts parts) : parts(std::move(parts)) {}

  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);

 private:
  // Handles another instance's offer of the lease on the batch jobs.
  void HandleLeaseOffer(Task& task, const HttpRequest& request, HttpReply& reply);

  Parts parts;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_INTERNAL_API_H_
