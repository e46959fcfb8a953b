#ifndef ANVILCROFT_INSTANCE_H_
#define ANVILCROFT_INSTANCE_H_

// One instance of anvilcroft: all components, connected on one Runtime.
//
// Once it listens, RunInstance prints one line on standard output,
//
//   listening api=127.0.0.1:40001 peer=127.0.0.1:40002
//
// and runs until SIGTERM, SIGINT or POST /v1/admin/drain triggers a graceful shutdown.

#include "anvilcroft/settings.h"

namespace anvilcroft {

// Runs an instance. Returns the exit code of the process: 0 after a graceful shutdown, 1 if another
// process has joined with the same instance id, 3 if an address in the settings cannot be used.
int RunInstance(const Settings& settings);

}  // namespace anvilcroft

#endif  // ANVILCROFT_INSTANCE_H_
