#ifndef ANVILCROFT_CUSTOMERS_REFUSED_KEYS_H_
#define ANVILCROFT_CUSTOMERS_REFUSED_KEYS_H_

#include <string>

#include "anvilcroft/customers/caller_identity.h"
#include "anvilcroft/metrics.h"

namespace anvilcroft {

// Counts and logs that a request was refused for its key, without the key. `request` is the id of
// the attempt.
void RecordRefusedKey(Metrics& metrics, const CallerIdentity& caller, const std::string& request);

}  // namespace anvilcroft

#endif  // ANVILCROFT_CUSTOMERS_REFUSED_KEYS_H_
