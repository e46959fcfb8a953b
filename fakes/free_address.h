#ifndef FAKES_FREE_ADDRESS_H_
#define FAKES_FREE_ADDRESS_H_

// Addresses of the loopback interface for listeners that are closed and opened again at the same
// address.

#include <string>

namespace anvilcroft::fakes {

// Returns a free "ip:port" and reserves it for this process and its children, whose listeners must
// allow the reuse of the address. The port is below the range of outgoing connections: otherwise
// one of these could occupy it while the listener is closed, also a connection to that very port.
std::string FreeAddress();

}  // namespace anvilcroft::fakes

#endif  // FAKES_FREE_ADDRESS_H_
