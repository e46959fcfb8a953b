#ifndef ANVILCROFT_EXIT_CODE_H_
#define ANVILCROFT_EXIT_CODE_H_

// Exit codes of the program, the same for all commands. docs/OPERATIONS.md lists them.

#include "anvilcroft/error.h"

namespace anvilcroft {

enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,          // none of the below
  kExitUsage = 2,           // malformed command line
  kExitBadSettings = 3,     // the settings or the document do not pass the check
  kExitRefused = 4,         // the instance refused; the work did not run
  kExitOutcomeUnknown = 5,  // the work may have run
  kExitNoConnection = 6,    // no instance could be connected
};

// The exit code that tells `error` to a script.
ExitCode ExitCodeOf(const Error& error);

}  // namespace anvilcroft

#endif  // ANVILCROFT_EXIT_CODE_H_
