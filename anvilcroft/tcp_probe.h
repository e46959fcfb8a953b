#ifndef ANVILCROFT_TCP_PROBE_H_
#define ANVILCROFT_TCP_PROBE_H_

// Checks whether an endpoint accepts TCP connections, without sending data.

#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

// Opens a new connection and closes it. Fails with kConnectFailed if the connection is refused or
// is not established before `deadline`.
Result<void> ProbeConnection(Task& task, const Endpoint& endpoint, TimePoint deadline);

// Whether `endpoint` refuses a connection: its host answers that no process listens there. False if
// there is no answer before `deadline`.
bool RefusesConnections(Task& task, const Endpoint& endpoint, TimePoint deadline);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TCP_PROBE_H_
