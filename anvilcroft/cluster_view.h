#ifndef ANVILCROFT_CLUSTER_VIEW_H_
#define ANVILCROFT_CLUSTER_VIEW_H_

// Read access to the cluster state for the other components of an instance. Membership and
// configuration provide the functions; tests provide their own.

#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/config_document.h"
#include "anvilcroft/error.h"
#include "anvilcroft/roster.h"
#include "anvilcroft/row.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

struct ClusterView {
  std::string self;  // id of this instance
  std::string zone;  // its availability zone

  // The newest roster that this instance has read.
  std::function<std::shared_ptr<const Roster>()> roster;

  // The configuration that this instance currently applies.
  std::function<std::shared_ptr<const ConfigDocument>()> config;

  // Whether this instance holds its lease at `now`, with the safety margin subtracted. Required for
  // orders to targets, claims and deliveries.
  std::function<bool(TimePoint now)> holds_lease;

  // Epoch of this run of the instance; 0 while it is not a member.
  std::function<RowVersion()> epoch;

  // Succeeds if new work may be accepted at `now`; otherwise fails with kNotReady or kIsolated and
  // ran = no.
  std::function<Result<void>(TimePoint now)> may_serve;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CLUSTER_VIEW_H_
