#ifndef ANVILCROFT_BATCH_CONTEXT_H_
#define ANVILCROFT_BATCH_CONTEXT_H_

// What the parts of the owner of batch jobs share.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "anvilcroft/batch_store.h"
#include "anvilcroft/engine_tracker.h"
#include "anvilcroft/event.h"
#include "anvilcroft/lease_keeper.h"
#include "anvilcroft/live_forwarder.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/owned_job.h"
#include "anvilcroft/route_table.h"
#include "anvilcroft/target_pool.h"
#include "platform/engine_client.h"

namespace anvilcroft {

struct BatchContext {
  Runtime& runtime;
  MetadataStore& metadata;
  BatchStore& store;
  platform::EngineClient& engines;
  LiveForwarder& live;
  TargetPool& pool;
  LeaseKeeper& lease;
  Metrics& metrics;
  std::function<std::shared_ptr<const RouteTable>()> routes;
  // Weight versions that trainers have named, by model.
  std::function<const std::map<std::string, int64_t>&()> named_versions;
  std::string instance;
  // Age beyond which the knowledge of the jobs is too old to start an item: an item of a job that
  // has ended may start only within the platform's bound.
  Duration max_job_age;

  EngineTracker engine_tracker;
  std::map<std::string, std::shared_ptr<OwnedJob>> jobs;
  // When the state of the jobs was last known to be that of the store.
  BootTime jobs_confirmed_at = BootTime::zero();
  Event plan_inputs_changed;  // something has changed that the plan depends on
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_BATCH_CONTEXT_H_
