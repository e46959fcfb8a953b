#ifndef ANVILCROFT_FRONT_PROCESS_H_
#define ANVILCROFT_FRONT_PROCESS_H_

// The process of an instance on a hosted platform: signals and reloads of the settings.

#include <string>

#include "anvilcroft/front_settings.h"

namespace anvilcroft {

// Runs until SIGTERM or SIGINT, then shuts down gracefully within the grace period. Reloads the
// settings from `path` on SIGHUP and at regular intervals. Returns the exit code.
int RunFrontInstance(const FrontSettings& settings, const std::string& path);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_PROCESS_H_
