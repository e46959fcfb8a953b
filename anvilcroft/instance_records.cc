#include "anvilcroft/instance_records.h"

namespace anvilcroft {

FrontRecord SelfRecord(const FrontSettings& settings) {
  FrontRecord record;
  record.instance = settings.InstanceId();
  record.zone = settings.Zone();
  record.region = settings.Region();
  record.address = settings.FrontAddress().ToString();
  record.cpu_share = settings.CpuShare();
  record.relays = true;
  record.slices = settings.EnginesPerSlice() > 0;
  return record;
}

LeaseSettings OwnerLeaseSettings(const FrontSettings& settings) {
  LeaseSettings lease_settings;
  lease_settings.key = "batch-owner";
  lease_settings.self = settings.InstanceId();
  lease_settings.lease_duration = settings.OwnerLease();
  return lease_settings;
}

}  // namespace anvilcroft
