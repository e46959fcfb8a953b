#ifndef ANVILCROFT_FLEET_SLICE_VIEW_H_
#define ANVILCROFT_FLEET_SLICE_VIEW_H_

// What this instance knows of the slice plan, and what it may do under it.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/fleet/slice_plan.h"
#include "anvilcroft/row_batch.h"
#include "anvilcroft/target_entry.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

class SliceView {
 public:
  // The plan's row is one of those that all instances follow; see FrontDirectory::SharedRowId.
  static constexpr const char* kRowPrefix = "!slices/";
  static constexpr const char* kRowName = "plan";

  // `enabled`: whether this instance takes part in slices; if not, there is always one.
  // `lease_duration`: how long a holder may order engines after its last renewal.
  SliceView(bool enabled, Duration lease_duration)
      : enabled(enabled), lease_duration(lease_duration) {}

  // Sets the query whether all live instances know slices. Call before any use.
  void SetPeersReady(std::function<bool()> value) { this->peers_ready = std::move(value); }

  static RowId Row();

  // Applies the plan's row as read or written at `now`. Ignores one older than the present row.
  // Returns whether it is a new one.
  bool Apply(const StoredRow& row, BootTime now);

  bool Enabled() const { return this->enabled; }
  const SlicePlan& Plan() const { return this->plan; }
  // Version of the plan's row, 0: there is none. Items belong to slices by this generation.
  int64_t Generation() const { return this->version; }
  // When this instance first saw the present row.
  BootTime SeenAt() const { return this->seen_at; }
  // Whether all live instances know slices at `now`. Call at intervals below the lease duration.
  bool CheckPeers(BootTime now);

  // The condition that the plan has not changed, for transactions on the lease of a slice.
  // nullopt: this instance does not take part in slices.
  std::optional<RowBatch::Condition> Guard() const;

  // Between the sending of a change of the plan and its known outcome, this instance orders no
  // engines.
  void SetChanging(bool value) { this->changing = value; }

  // Whether the owner of `slice` may order engines at `now`, apart from its lease: all leases of
  // earlier plans have expired, and no instance of a build without slices may be the owner of all
  // engines.
  bool MayOrderAt(int slice, BootTime now);

 private:
  bool enabled;
  Duration lease_duration;
  std::function<bool()> peers_ready = [] { return true; };
  SlicePlan plan;
  int64_t version = 0;
  BootTime seen_at = BootTime::zero();
  bool changing = false;
  // When an instance without slices was last live. It may order all engines for as long as its
  // lease, also after it has vanished from the list.
  std::optional<BootTime> peer_without_slices_at;
};

// The part of items and engines that one owner has.
struct SliceScope {
  SliceView* view = nullptr;  // null: all of them
  int slice = 0;

  bool Sliced() const { return this->view != nullptr && this->view->Plan().Sliced(); }
  int64_t Generation() const { return this->view == nullptr ? 0 : this->view->Generation(); }
  int Count() const { return this->view == nullptr ? 1 : this->view->Plan().count; }
  bool OwnsEngine(const TargetEntry& engine) const {
    return this->view == nullptr ||
           SliceOfEngine(this->view->Plan(), engine.service, engine.id) == this->slice;
  }
  bool OwnsItem(const BatchHead& head, const BatchItem& item) const {
    return this->view == nullptr ||
           SliceOfItem(this->view->Plan(), head.model, item.group, item.id) == this->slice;
  }
  bool MayOwnItems(const BatchHead& head) const {
    return this->view == nullptr || SliceHasModel(this->view->Plan(), this->slice, head.model);
  }
  bool MayOrderAt(BootTime now) const {
    return this->view == nullptr || this->view->MayOrderAt(this->slice, now);
  }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_FLEET_SLICE_VIEW_H_
