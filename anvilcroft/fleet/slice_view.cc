#include "anvilcroft/fleet/slice_view.h"

#include "anvilcroft/front_directory.h"
#include "anvilcroft/log.h"

namespace anvilcroft {

RowId SliceView::Row() { return FrontDirectory::SharedRowId(kRowPrefix, kRowName); }

bool SliceView::Apply(const StoredRow& row, BootTime now) {
  if (!this->enabled || row.version <= this->version) return false;
  this->version = row.removed ? 0 : row.version;
  this->seen_at = now;
  auto decoded = row.removed ? Result<SlicePlan>(SlicePlan()) : DecodePlan(row.value);
  if (!decoded) {
    LogError("slices", "could not decode the slice plan; assuming one slice",
             {{"version", std::to_string(row.version)}, {"error", decoded.error().message}});
  }
  this->plan = decoded ? std::move(*decoded) : SlicePlan();
  LogInfo("slices", "the slice plan has changed",
          {{"version", std::to_string(this->version)},
           {"slices", std::to_string(this->plan.count)},
           {"families", std::to_string(this->plan.families.size())}});
  return true;
}

std::optional<RowBatch::Condition> SliceView::Guard() const {
  if (!this->enabled) return std::nullopt;
  return RowBatch::Condition{Row(), this->version};
}

bool SliceView::CheckPeers(BootTime now) {
  if (this->peers_ready()) return true;
  this->peer_without_slices_at = now;
  return false;
}

bool SliceView::MayOrderAt(int slice, BootTime now) {
  if (this->changing) return false;
  if (this->version != 0 && now < this->seen_at + this->lease_duration) return false;
  if (slice == 0) return true;
  return slice < this->plan.count && this->CheckPeers(now) &&
         (!this->peer_without_slices_at ||
          now >= *this->peer_without_slices_at + this->lease_duration);
}

}  // namespace anvilcroft
