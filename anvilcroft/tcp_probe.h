#ifndef ANVILCROFT_TCP_PROBE_H_
#define ANVILCROFT_TCP_PROBE_H_

// Finds out whether an endpoint accepts connections, without sending a byte.

#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

// Makes a new connection and closes it. Fails with kConnectFailed if it is refused or not made
// before `deadline`.
Result<void> ProbeConnection(Task& task, const Endpoint& endpoint, TimePoint deadline);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TCP_PROBE_H_
