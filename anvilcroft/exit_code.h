#ifndef ANVILCROFT_EXIT_CODE_H_
#define ANVILCROFT_EXIT_CODE_H_

// Exit codes of the program, the same for all commands. docs/OPERATIONS.md lists them.

#include "anvilcroft/error.h"

namespace anvilcroft {

enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,          // any failure without a code of its own
  kExitUsage = 2,           // malformed command line
  kExitBadSettings = 3,     // the settings or the configuration document are invalid
  kExitRefused = 4,         // the instance rejected the request; the work did not run
  kExitOutcomeUnknown = 5,  // the work may have run
  kExitNoConnection = 6,    // no connection to an instance could be established
};

// Returns the exit code that corresponds to `error`.
ExitCode ExitCodeOf(const Error& error);

}  // namespace anvilcroft

#endif  // ANVILCROFT_EXIT_CODE_H_
