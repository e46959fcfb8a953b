#ifndef ANVILCROFT_FLEET_SLICE_PLANNER_H_
#define ANVILCROFT_FLEET_SLICE_PLANNER_H_

// Writes the slice plan while this instance holds the lease of slice 0.
//
// A change has the version of that lease's row as a condition, so it fails after another instance
// has taken the lease. A change without an answer may be applied until this instance has renewed
// the lease; until then it orders no engines.

#include <functional>
#include <vector>

#include "anvilcroft/fleet/slice_timer.h"
#include "anvilcroft/fleet/slice_view.h"
#include "anvilcroft/lease_keeper.h"
#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

class SlicePlanner {
 public:
  // `sizes` returns the services whose engines run items. `apply` is called with a plan's row that
  // was written or read.
  SlicePlanner(Runtime& runtime, MetadataStore& store, SliceView& view, LeaseKeeper& lease,
               int per_slice, std::function<std::vector<ServiceSize>()> sizes,
               std::function<void(const StoredRow&)> apply)
      : runtime(runtime),
        store(store),
        view(view),
        lease(lease),
        per_slice(per_slice),
        sizes(std::move(sizes)),
        apply(std::move(apply)) {}

  void Start();

 private:
  void Run(Task& task);
  void Change(Task& task, const SlicePlan& plan);
  // Waits until a change that got no answer can no longer be applied, and reads the plan.
  void AwaitOutcome(Task& task, int64_t lease_version);

  Runtime& runtime;
  MetadataStore& store;
  SliceView& view;
  LeaseKeeper& lease;
  int per_slice;
  std::function<std::vector<ServiceSize>()> sizes;
  std::function<void(const StoredRow&)> apply;
  SliceTimer timer;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_FLEET_SLICE_PLANNER_H_
