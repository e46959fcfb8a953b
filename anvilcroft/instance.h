#ifndef ANVILCROFT_INSTANCE_H_
#define ANVILCROFT_INSTANCE_H_

// One running instance of anvilcroft.

#include "anvilcroft/settings.h"

namespace anvilcroft {

// Sets up the log and runs an instance until its graceful shutdown is complete. Returns the exit
// code of the process.
int RunInstance(const Settings& settings);

}  // namespace anvilcroft

#endif  // ANVILCROFT_INSTANCE_H_
