#ifndef ANVILCROFT_INSTANCE_RECORDS_H_
#define ANVILCROFT_INSTANCE_RECORDS_H_

// What an instance publishes about itself and how it holds the owner lease, from its settings.

#include "anvilcroft/front_record.h"
#include "anvilcroft/front_settings.h"
#include "anvilcroft/lease_keeper.h"

namespace anvilcroft {

// The entry of the instance in the directory, without its internal address.
FrontRecord SelfRecord(const FrontSettings& settings);

LeaseSettings OwnerLeaseSettings(const FrontSettings& settings);

}  // namespace anvilcroft

#endif  // ANVILCROFT_INSTANCE_RECORDS_H_
