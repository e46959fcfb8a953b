#ifndef ANVILCROFT_BATCH_CONTEXT_H_
#define ANVILCROFT_BATCH_CONTEXT_H_

// State and services shared by the parts of BatchOwner.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "anvilcroft/batch_store.h"
#include "anvilcroft/engine_tracker.h"
#include "anvilcroft/event.h"
#include "anvilcroft/fleet/slice_view.h"
#include "anvilcroft/lease_keeper.h"
#include "anvilcroft/live_forwarder.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/owned_jobs.h"
#include "anvilcroft/request_limiter.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/target_pool.h"
#include "platform/engine_client.h"

namespace anvilcroft {

struct BatchContext {
  Runtime& runtime;
  MetadataStore& metadata;
  BatchStore& store;
  platform::EngineClient& engines;
  RequestLimiter& limiter;
  LiveForwarder& live;
  TargetPool& pool;
  LeaseKeeper& lease;
  Metrics& metrics;
  std::function<std::shared_ptr<const RouteTable>()> routes;
  // Newest weight version that a trainer has requested, by model.
  std::function<const std::map<std::string, int64_t>&()> requested_versions;
  std::string instance;
  // No item is started while jobs_confirmed_at is older than this: after a job has ended, its items
  // may start only within the time that the platform allows for a cancellation.
  Duration max_job_age;

  EngineTracker engine_tracker;
  OwnedJobs jobs;
  // Time at which `jobs` was last confirmed to match the store.
  BootTime jobs_confirmed_at = BootTime::zero();
  Event plan_inputs_changed;  // notified when a new plan may differ from the last one
  SliceScope scope;           // the items that are run and the engines that are ordered
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_CONTEXT_H_
