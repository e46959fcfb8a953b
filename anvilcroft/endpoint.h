#ifndef ANVILCROFT_ENDPOINT_H_
#define ANVILCROFT_ENDPOINT_H_

// A TCP endpoint: an IP address and a port, written "192.0.2.1:80" or "[2001:db8::1]:80". Host
// names are not accepted, because the processes of the system address each other by IP address.

#include <cstdint>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const;

  friend bool operator==(const Endpoint& a, const Endpoint& b) { return a.Tie() == b.Tie(); }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) { return !(a == b); }
  friend bool operator<(const Endpoint& a, const Endpoint& b) { return a.Tie() < b.Tie(); }

 private:
  std::tuple<const std::string&, const uint16_t&> Tie() const {
    return std::tie(this->ip, this->port);
  }
};

// Parses `text`. Fails with kInvalidArgument, with `text` as the error's part.
Result<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENDPOINT_H_
