#ifndef ANVILCROFT_CLUSTER_VIEW_H_
#define ANVILCROFT_CLUSTER_VIEW_H_

// What a role of an instance asks about the cluster. The roles that own the answers (membership,
// configuration) supply the hooks; tests supply their own.

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

  // The newest roster this instance knows.
  std::function<std::shared_ptr<const Roster>()> roster;

  // The configuration in force here.
  std::function<std::shared_ptr<const ConfigDocument>()> config;

  // Whether this instance holds its lease at `now`, with the safety margin taken off. Orders to
  // targets, claims and deliveries need it.
  std::function<bool(TimePoint now)> holds_lease;

  // Epoch of this run of the instance; 0 before it has joined.
  std::function<RowVersion()> epoch;

  // Whether new work may be accepted at `now`; otherwise kNotReady or kIsolated, ran = no.
  std::function<Result<void>(TimePoint now)> may_serve;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CLUSTER_VIEW_H_
