#ifndef ANVILCROFT_FRONT_INSTANCE_H_
#define ANVILCROFT_FRONT_INSTANCE_H_

// An instance on a hosted platform: it serves callers, answers which instances to use, and takes
// its turn as the owner of the batch jobs. All instances run the same roles.

#include <string>

#include "anvilcroft/front_settings.h"

namespace anvilcroft {

// Runs until SIGTERM or SIGINT, then shuts down gracefully within the grace period. Reads the
// settings at `path` again on SIGHUP. Returns the exit code.
int RunFrontInstance(const FrontSettings& settings, const std::string& path);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_INSTANCE_H_
