#include "anvilcroft/instance.h"

#include <cstdio>

namespace anvilcroft {

int RunInstance(const Settings&) {
  std::fputs("the instance is not implemented yet\n", stderr);
  return 1;
}

}  // namespace anvilcroft
