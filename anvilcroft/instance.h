#ifndef ANVILCROFT_INSTANCE_H_
#define ANVILCROFT_INSTANCE_H_

// One instance of anvilcroft: all roles wired together on one Runtime.
//
// RunInstance prints one line on standard output when it listens,
//
//   listening api=127.0.0.1:40001 peer=127.0.0.1:40002
//
// and runs until SIGTERM, SIGINT or POST /v1/admin/drain has led to a graceful shutdown.

#include "anvilcroft/settings.h"

namespace anvilcroft {

// Runs an instance. Returns the process's exit code: 0 after a graceful shutdown, 1 if another
// process took over the instance id, 3 if an address of the settings cannot be used.
int RunInstance(const Settings& settings);

}  // namespace anvilcroft

#endif  // ANVILCROFT_INSTANCE_H_
