#include "anvilcroft/exit_code.h"

namespace anvilcroft {

ExitCode ExitCodeOf(const Error& error) {
  if (error.code == ErrorCode::kConnectFailed) return kExitNoConnection;
  switch (error.ran) {
    case Ran::kNo:
      return kExitRefused;
    case Ran::kUnknown:
      return kExitOutcomeUnknown;
    case Ran::kYes:
      break;
  }
  return kExitFailed;
}

}  // namespace anvilcroft
